#ifndef SRC_DANDELIONMILL_ADMIN_ADMIN_SERVER_H_
#define SRC_DANDELIONMILL_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/metrics/registry.h"
#include "dandelionmill/net/http_server.h"

namespace dandelionmill::admin {

// HTTP server on the admin port of a daemon:
//   GET /healthz   200 while the daemon accepts work, else 503; no key
//   GET /metrics   metrics in the Prometheus text format; no key
//   GET /dump      internal state as JSON, without secrets; requires the key
// Handlers registered with Get and Post require the key too. Clients send it as
// "Authorization: Bearer KEY"; without it they get status 401.
class AdminServer {
 public:
  struct Options {
    net::Address bind;
    std::string key;
  };
  // An HTTP status and a JSON body.
  struct Response {
    int status = 200;
    std::string json;
  };
  using Query = std::function<Response()>;
  using Command = std::function<Response(const std::string& body)>;

  // `metrics` must outlive the server.
  AdminServer(Options options, const metrics::Registry& metrics);

  // Handlers run on the threads of the server and must be set before Start.
  void SetHealth(std::function<bool()> is_healthy);
  // `dump` returns the state as JSON text.
  void SetDump(std::function<std::string()> dump);
  void Get(const std::string& path, Query query);
  void Post(const std::string& path, Command command);

  // Fails as net::HttpServer::Start does.
  base::Status Start();
  void Stop();

 private:
  const std::string key_;
  net::HttpServer server_;
};

}  // namespace dandelionmill::admin

#endif  // SRC_DANDELIONMILL_ADMIN_ADMIN_SERVER_H_
