#ifndef SRC_DANDELIONMILL_GATEWAY_STATUS_SERVER_H_
#define SRC_DANDELIONMILL_GATEWAY_STATUS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::gateway {

// Answers GET requests of the balancer and of operators: readiness, metrics,
// a dump of the state. Small answers only.
class StatusServer {
 public:
  struct Page {
    int status = 200;
    const char* content_type = "text/plain";
    std::string body;
  };
  using Maker = std::function<Page()>;

  // `loop` must outlive the server.
  explicit StatusServer(boost::asio::io_context& loop) : acceptor_(loop) {}

  // Serves what `maker` returns at `path`.
  void AddPage(const std::string& path, Maker maker);
  // Fails with kBadSetting when the address cannot be bound.
  base::Status Listen(const net::Address& address);
  void Stop();

 private:
  class Session;

  void Accept();
  Page MakePage(const std::string& target) const;

  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, Maker> pages_;
};

// Binds and listens. Fails with kBadSetting naming the address.
base::Status Listen(boost::asio::ip::tcp::acceptor& acceptor,
                    const net::Address& address);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_STATUS_SERVER_H_
