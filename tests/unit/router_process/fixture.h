#ifndef TESTS_UNIT_ROUTER_PROCESS_FIXTURE_H_
#define TESTS_UNIT_ROUTER_PROCESS_FIXTURE_H_

#include <httplib.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "bench/relay/fake_control.h"
#include "dandelionmill/backend/sse_parser.h"
#include "dandelionmill/base/digest.h"
#include "dandelionmill/router/router.h"
#include "dandelionmill/router/router_settings.h"
#include "dandelionmill/settings/schema.h"
#include "standins/backend/backend_server.h"
#include "standins/backend/model_call.h"
#include "standins/link/link_server.h"

namespace dandelionmill::router {

// The ports depend on the process id, so that concurrent runs on one machine do
// not conflict.
inline constexpr int kPortsPerProcess = 20;
inline const int kFirstPort = 26200 + (::getpid() % 80) * kPortsPerProcess;
inline const int kRouterPort = kFirstPort;
inline const int kControlPort = kFirstPort + 2;
inline const int kEnginePort = kFirstPort + 3;
inline const int kLinkPort = kFirstPort + 5;
inline const int kPlainPort = kFirstPort + 7;
// Base port for engines started by a test itself.
inline const int kSparePort = kFirstPort + 11;
inline constexpr const char* kHost = "127.0.0.1";

// Returns the inventory entry of a model engine.
inline std::string EngineEntry(const std::string& id, int port) {
  const nlohmann::json entry = {
      {"id", id},
      {"service", "assay-llm"},
      {"zone", "gwynedd-a"},
      {"address", std::string(kHost) + ":" + std::to_string(port)},
      {"slots", 8}};
  return entry.dump();
}

// The response received by a caller.
struct CallerResponse {
  int status = 0;
  httplib::Headers headers;
  std::string body;
  // For a stream: its text, whether it ended with [DONE], and its error, if
  // any.
  std::string text;
  bool done = false;
  nlohmann::json error;
};

// Parses the event stream in `response.body`.
inline void ReadStream(CallerResponse& response) {
  backend::SseParser parser;
  std::vector<backend::SseEvent> events;
  parser.Feed(response.body, events);
  for (const backend::SseEvent& event : events) {
    if (event.data == "[DONE]") {
      response.done = true;
      continue;
    }
    const auto json = nlohmann::json::parse(event.data);
    if (json.contains("choices"))
      response.text += json["choices"][0]["delta"].value("content", "");
    else
      response.error = json;
  }
}

// A router with stand-ins for the processes around it: a control, an engine
// behind a link, and a plain service.
class Fleet {
 public:
  // `backends` holds the inventory entries of the model engines.
  explicit Fleet(const std::string& backends = EngineEntry("gw-a-1", kLinkPort))
      : control_(ControlOptions(backends)),
        engine_(EngineOptions()),
        plain_(PlainOptions()),
        link_(
            {{kHost, kLinkPort}, {kHost, kEnginePort}, {kHost, kLinkPort + 1}}),
        settings_(Settings()),
        router_(settings_) {
    control_.Start();
    REQUIRE(base::IsOk(engine_.Start()));
    REQUIRE(base::IsOk(plain_.Start()));
    REQUIRE(base::IsOk(link_.Start()));
    REQUIRE(base::IsOk(router_.Start()));
    WaitUntilHealthy();
  }

  relay::FakeControl& control() { return control_; }
  Router& router() { return router_; }

  static httplib::Client MakeClient(int port = kRouterPort) {
    httplib::Client client(kHost, port);
    client.set_read_timeout(std::chrono::seconds(30));
    client.set_tcp_nodelay(true);
    return client;
  }

  static void SetFaults(int admin_port, const nlohmann::json& faults) {
    auto client = MakeClient(admin_port);
    const auto result =
        client.Post("/faults", faults.dump(), "application/json");
    REQUIRE(result);
    REQUIRE(result->status == 200);
  }

  static nlohmann::json Records(int admin_port) {
    auto client = MakeClient(admin_port);
    const auto result = client.Get("/records");
    REQUIRE(result);
    return nlohmann::json::parse(result->body);
  }

  // Returns the value of a counter of the router.
  static int Metric(const std::string& name) {
    auto client = MakeClient(kRouterPort + 1);
    const auto result = client.Get("/metrics");
    REQUIRE(result);
    const std::size_t at = result->body.find("\n" + name + " ");
    REQUIRE(at != std::string::npos);
    return std::stoi(result->body.substr(at + name.size() + 2));
  }

  // Returns the body of a chat request for an exact number of tokens.
  static std::string Body(const std::string& question,
                          int tokens,
                          bool stream = true) {
    const nlohmann::json body = {
        {"model", "ochre-8b"},
        {"stream", stream},
        {"x_tokens", tokens},
        {"messages", {{{"role", "user"}, {"content", question}}}}};
    return body.dump();
  }

  // Returns the expected answer to `body`.
  static std::string Answer(const std::string& body) {
    const auto call = standins::backend::ParseModelCall(body);
    return standins::backend::AnswerText(base::ValueOf(call));
  }

  static CallerResponse Post(const std::string& path,
                             const std::string& body,
                             httplib::Headers headers = {}) {
    auto client = MakeClient();
    headers.emplace("Authorization", "Bearer pigments.secret");
    const auto result = client.Post(path, headers, body, "application/json");
    REQUIRE(result);
    CallerResponse response;
    response.status = result->status;
    response.headers = result->headers;
    response.body = result->body;
    if (result->get_header_value("Content-Type") == "text/event-stream")
      ReadStream(response);
    return response;
  }

  static CallerResponse Chat(const std::string& body,
                             httplib::Headers headers = {}) {
    return Post("/v1/chat/completions", body, std::move(headers));
  }

  static std::string Header(const CallerResponse& response,
                            const std::string& name) {
    const auto found = response.headers.find(name);
    return found == response.headers.end() ? "" : found->second;
  }

 private:
  static relay::FakeControl::Options ControlOptions(
      const std::string& backends) {
    relay::FakeControl::Options options;
    options.bind = {kHost, kControlPort};
    options.fleet_key = "fleet-key-of-tests";
    options.inventory =
        R"({
      "regions":[{"id":"gwynedd","zones":["gwynedd-a"]}],
      "services":[{"id":"assay-llm","kind":"model",
                   "models":[{"id":"ochre-8b","version":"1"}]},
                  {"id":"ledger","kind":"plain","tokens_per_request":3,
                   "non_idempotent_paths":["/payouts"]}],
      "backends":[)" +
        backends +
        R"(,{"id":"gw-a-l","service":"ledger","zone":"gwynedd-a",
                   "address":"127.0.0.1:)" +
        std::to_string(kPlainPort) + R"(","slots":8}],
      "accounts":[{"id":"pigments","key_sha256":[")" +
        base::Sha256Hex("pigments.secret") + R"("],
                   "budgets":[{"name":"default","granted":1000000}]}]})";
    return options;
  }

  static standins::backend::BackendServer::Options EngineOptions() {
    standins::backend::BackendServer::Options options;
    options.listen = {kHost, kEnginePort};
    options.admin = {kHost, kEnginePort + 1};
    options.id = "gw-a-1";
    options.models = {"ochre-8b"};
    options.token_interval = std::chrono::milliseconds(5);
    options.max_connections = 64;
    return options;
  }

  static standins::backend::BackendServer::Options PlainOptions() {
    standins::backend::BackendServer::Options options;
    options.listen = {kHost, kPlainPort};
    options.admin = {kHost, kPlainPort + 1};
    options.id = "ledger";
    options.kind = standins::backend::Kind::kPlain;
    options.token_interval = std::chrono::milliseconds(2);
    options.max_connections = 32;
    return options;
  }

  static std::string At(int port) {
    return std::string(kHost) + ":" + std::to_string(port);
  }

  static settings::Values Settings() {
    const nlohmann::json json = {{"instance", "r1"},
                                 {"zone", "gwynedd-a"},
                                 {"region", "gwynedd"},
                                 {"listen_address", At(kRouterPort)},
                                 {"admin_address", At(kRouterPort + 1)},
                                 {"admin_key", "admin"},
                                 {"fleet_key", "fleet-key-of-tests"},
                                 {"control_address", At(kControlPort)},
                                 {"max_connections", 64},
                                 {"max_body_bytes", 65536},
                                 {"silent_after_ms", 300},
                                 {"load_poll_ms", 100}};
    auto values = settings::Check(RouterSchema(), json.dump());
    REQUIRE(base::IsOk(values));
    return base::ValueOf(std::move(values));
  }

  static void WaitUntilHealthy() {
    auto client = MakeClient();
    for (int i = 0; i < 1000; ++i) {
      const auto result = client.Get("/healthz");
      if (result && result->status == 200)
        return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    FAIL("the router does not become healthy");
  }

  relay::FakeControl control_;
  standins::backend::BackendServer engine_;
  standins::backend::BackendServer plain_;
  standins::link::LinkServer link_;
  const settings::Values settings_;
  Router router_;
};

}  // namespace dandelionmill::router

#endif  // TESTS_UNIT_ROUTER_PROCESS_FIXTURE_H_
