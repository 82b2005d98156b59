#ifndef SRC_DANDELIONMILL_ROUTER_HTTP_FRONTEND_H_
#define SRC_DANDELIONMILL_ROUTER_HTTP_FRONTEND_H_

#include <functional>

#include "dandelionmill/net/async_http_server.h"
#include "dandelionmill/router/router_context.h"

namespace dandelionmill::router {

// HTTP server for callers; see docs/interfaces.md, "Callers → router". GET
// /healthz answers 200 while the load balancer should send requests here, and
// 503 otherwise.
class HttpFrontend {
 public:
  HttpFrontend(boost::asio::io_context& loop,
               net::AsyncHttpServer::Options options,
               RouterContext& context,
               std::function<bool()> is_healthy);

  // Returns the errors of net::AsyncHttpServer::Start.
  base::Status Start() { return server_.Start(); }
  // Stops accepting connections and waits for requests in progress.
  void Stop() { server_.Stop(); }

 private:
  void Handle(net::Fiber& fiber,
              const net::HttpRequest& request,
              net::HttpResponse& response);

  RouterContext& context_;
  const std::function<bool()> is_healthy_;
  net::AsyncHttpServer server_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_HTTP_FRONTEND_H_
