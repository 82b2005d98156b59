#ifndef SRC_DANDELIONMILL_ROUTER_HTTP_FRONT_H_
#define SRC_DANDELIONMILL_ROUTER_HTTP_FRONT_H_

#include <functional>

#include "dandelionmill/net/async_http_server.h"
#include "dandelionmill/router/traffic.h"

namespace dandelionmill::router {

// The callers' port: docs/interfaces.md, "Callers → router". GET /healthz
// answers 200 while the balancer should send requests here.
class HttpFront {
 public:
  HttpFront(boost::asio::io_context& loop,
            net::AsyncHttpServer::Options options,
            Traffic& traffic,
            std::function<bool()> is_healthy);

  // Errors as net::AsyncHttpServer::Start.
  base::Status Start() { return server_.Start(); }
  // Stops accepting and waits for requests in progress.
  void Stop() { server_.Stop(); }

 private:
  void Handle(net::Fiber& fiber,
              const net::HttpRequest& request,
              net::HttpResponse& response);

  Traffic& traffic_;
  const std::function<bool()> is_healthy_;
  net::AsyncHttpServer server_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_HTTP_FRONT_H_
