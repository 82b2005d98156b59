#ifndef TESTS_SESSIONS_GATEWAY_GATEWAY_FIXTURE_H_
#define TESTS_SESSIONS_GATEWAY_GATEWAY_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "dandelionmill/gateway/gateway.h"
#include "standins/backend/scripted_engine.h"
#include "standins/platform/rows_server.h"

namespace gateway_test {

namespace base = dandelionmill::base;
namespace gateway = dandelionmill::gateway;
using nlohmann::json;
using standins::backend::ScriptedEngine;
using Request = ScriptedEngine::Request;
using Answer = ScriptedEngine::Answer;
using std::chrono::milliseconds;

inline constexpr int kStorePort = 28100;
inline constexpr int kCallerPort = 28101;
inline constexpr int kReadyPort = 28102;
inline constexpr int kFirstEnginePort = 28110;

// Routes: /safe/ (idempotent, 2 attempts), /once/ (not idempotent), /stream/
// (resumable, 2 attempts), /single/ (a stream that runs once).
inline json DesiredState(int version, std::int64_t prepaid = 100000) {
  const auto route = [](const char* prefix, const char* kind, int attempts,
                        bool resumable) {
    return json{
        {"name", prefix},    {"host", "a.example"},    {"prefix", prefix},
        {"kind", kind},      {"service", "model"},     {"attempts", attempts},
        {"timeoutMs", 1500}, {"targetLatencyMs", 300}, {"targetGapMs", 200},
        {"priority", 1},     {"resumable", resumable}};
  };
  return {
      {"version", version},
      {"routes",
       {route("/safe/", "safe", 2, false), route("/once/", "unsafe", 1, false),
        route("/stream/", "streaming", 2, true),
        route("/single/", "streaming", 1, false)}},
      {"services",
       {{{"name", "model"},
         {"connectionLimit", 64},
         {"engine",
          {{"slots", 8}, {"kvCacheTokens", 100000}, {"stride", 5}}}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 100000},
        {"headerTimeoutMs", 400},
        {"idleTimeoutMs", 5000}}},
      {"tenants",
       {{{"name", "painters"},
         {"apiKeys", {"secret"}},
         {"prepaid", prepaid}}}}};
}

// What a caller got.
struct Received {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> fields;
  // The connection ended before the answer was complete.
  bool is_cut = false;
};

// Runs a gateway in a thread.
class RunningGateway {
 public:
  // Requires that it can listen on its addresses.
  explicit RunningGateway(
      const dandelionmill::platform::NodeSettings& settings);
  ~RunningGateway();

  // Starts the shutdown and returns once it has begun. `on_left` runs in the
  // gateway's thread when it is complete.
  void Shutdown(std::function<void()> on_left);
  // Blocks the event loop for `length`, from now on.
  void Block(milliseconds length);

 private:
  boost::asio::io_context loop_{1};
  gateway::Gateway gateway_;
  std::thread thread_;
};

// Returns the settings of an instance whose listening ports are `first_port`
// for callers and the next two for readiness and for other instances.
dandelionmill::platform::NodeSettings
NodeSettingsFor(const std::string& instance, int first_port, int store_port);

// Writes a registry entry of an engine that is ready.
void RegisterEngine(standins::platform::RowsServer& store,
                    const std::string& id,
                    int port,
                    const std::string& version = "v1",
                    const std::string& service = "model",
                    const std::string& zone = "north");

// A gateway process in a thread, with a stand-in store and engines.
class GatewayFixture {
 public:
  explicit GatewayFixture(json state = DesiredState(1),
                          milliseconds shutdown_grace = milliseconds(5000))
      : store(kStorePort), shutdown_grace_(shutdown_grace) {
    store.Put("op", "config", state);
    Start();
  }
  ~GatewayFixture() { Stop(); }

  void Start();
  void Stop();
  // Starts the shutdown of the gateway and returns once it has begun.
  void Shutdown();
  // Blocks the gateway's event loop for `length`, from now on.
  void Block(milliseconds length);
  bool IsReady();
  // Registers an engine that answers as the script says.
  ScriptedEngine& AddEngine(const std::string& id,
                            ScriptedEngine::Script s,
                            const std::string& version = "v1",
                            const std::string& zone = "north");
  // Replaces the engine by another process at its address, which reports
  // `born`. Its entry stays as it is.
  void RestartEngine(const std::string& id,
                     ScriptedEngine::Script script,
                     std::int64_t born);
  void WaitUntil(const std::function<bool()>& holds);
  // Sends a request to the gateway that listens on `port`.
  Received Send(const std::string& target,
                std::map<std::string, std::string> fields = {},
                const std::string& body = "{}",
                int port = kCallerPort);
  // Sends bytes and returns all that comes until the connection closes, or for
  // a second.
  std::string Exchange(const std::string& bytes);

  standins::platform::RowsServer store;
  std::map<std::string, std::unique_ptr<ScriptedEngine>> engines;
  std::atomic<bool> has_left{false};

 private:
  std::unique_ptr<RunningGateway> gateway_;
  const milliseconds shutdown_grace_;
  int next_port_ = kFirstEnginePort;
  std::map<std::string, int> engine_ports_;
  int next_attempt_ = 1;
};

}  // namespace gateway_test

#endif  // TESTS_SESSIONS_GATEWAY_GATEWAY_FIXTURE_H_
