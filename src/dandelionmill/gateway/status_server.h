#ifndef SRC_DANDELIONMILL_GATEWAY_STATUS_SERVER_H_
#define SRC_DANDELIONMILL_GATEWAY_STATUS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/accept_loop.h"
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
  explicit StatusServer(boost::asio::io_context& loop)
      : acceptor_(loop, "status") {}

  // Serves the page that `handler` returns at `path`; the query is ignored.
  void AddPage(const std::string& path, PageHandler handler);
  // Fails with kBadSetting when the address cannot be bound.
  base::Status Listen(const net::Address& address);
  void Stop();

 private:
  class Session;

  void OnAccepted(boost::asio::ip::tcp::socket socket);
  Page RenderPage(const std::string& target) const;

  AcceptLoop acceptor_;
  std::map<std::string, PageHandler> pages_;
  // Oldest first.
  std::list<std::weak_ptr<Session>> sessions_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_STATUS_SERVER_H_
