#include "dandelionmill/admin/admin_server.h"

#include <httplib.h>

#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::admin {
namespace {

constexpr char kJsonType[] = "application/json";

net::HttpServer::Options ServerOptions(const net::Address& bind) {
  net::HttpServer::Options options;
  options.bind = bind;
  options.max_connections = 8;
  options.keep_alive = std::chrono::seconds(1);
  return options;
}

bool IsAuthorized(const httplib::Request& request, const std::string& key) {
  return base::ConstantTimeEquals(request.get_header_value("Authorization"),
                                  "Bearer " + key);
}

void Send(httplib::Response& response, const AdminServer::Response& answer) {
  response.status = answer.status;
  response.set_content(answer.json, kJsonType);
}

void SendUnauthorized(httplib::Response& response) {
  Send(response, {401, R"({"code":203,"detail":"the admin key is wrong"})"});
}

}  // namespace

AdminServer::AdminServer(Options options, const metrics::Registry& metrics)
    : key_(std::move(options.key)), server_(ServerOptions(options.bind)) {
  server_.routes().Get("/metrics", [&metrics](const httplib::Request&,
                                              httplib::Response& response) {
    response.set_content(metrics.ToPrometheus(), "text/plain; version=0.0.4");
  });
}

void AdminServer::SetHealth(std::function<bool()> is_healthy) {
  server_.routes().Get(
      "/healthz", [is_healthy = std::move(is_healthy)](
                      const httplib::Request&, httplib::Response& response) {
        const bool healthy = is_healthy();
        Send(response, {healthy ? 200 : 503, healthy ? R"({"healthy":true})"
                                                     : R"({"healthy":false})"});
      });
}

void AdminServer::SetDump(std::function<std::string()> dump) {
  Get("/dump", [dump = std::move(dump)] { return Response{200, dump()}; });
}

void AdminServer::Get(const std::string& path, Query query) {
  server_.routes().Get(
      path, [this, query = std::move(query)](const httplib::Request& request,
                                             httplib::Response& response) {
        if (!IsAuthorized(request, key_))
          return SendUnauthorized(response);
        Send(response, query());
      });
}

void AdminServer::Post(const std::string& path, Command command) {
  server_.routes().Post(
      path, [this, command = std::move(command)](
                const httplib::Request& request, httplib::Response& response) {
        if (!IsAuthorized(request, key_))
          return SendUnauthorized(response);
        Send(response, command(request.body));
      });
}

base::Status AdminServer::Start() {
  return server_.Start();
}

void AdminServer::Stop() {
  server_.Stop();
}

}  // namespace dandelionmill::admin
