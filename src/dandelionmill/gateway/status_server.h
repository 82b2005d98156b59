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

// HTTP server for small status pages for the balancer and operators: readiness,
// metrics and a dump of the state.
class StatusServer {
 public:
  struct Page {
    int status = 200;
    const char* content_type = "text/plain";
    std::string body;
  };
  using PageHandler = std::function<Page()>;

  // `loop` must outlive the server.
  explicit StatusServer(boost::asio::io_context& loop) : acceptor_(loop) {}

  // Serves the page that `handler` returns at `path`; the query is ignored.
  void AddPage(const std::string& path, PageHandler handler);
  // Fails with kBadSetting when the address cannot be bound.
  base::Status Listen(const net::Address& address);
  void Stop();

 private:
  class Session;

  void Accept();
  Page RenderPage(const std::string& target) const;

  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, PageHandler> pages_;
};

// Binds `acceptor` to `address` and listens. Fails with kBadSetting naming the
// address.
base::Status Listen(boost::asio::ip::tcp::acceptor& acceptor,
                    const net::Address& address);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_STATUS_SERVER_H_
