#include <chrono>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "bench/relay/fake_control.h"
#include "bench/relay/paced_engine.h"
#include "bench/relay/stream_client.h"
#include "dandelionmill/base/digest.h"
#include "dandelionmill/settings/command_line.h"

namespace relay {
namespace {

namespace settings = dandelionmill::settings;
using dandelionmill::net::Address;

constexpr const char* kKey = "relay.secret";
constexpr const char* kModel = "paced";

settings::Schema RelaySchema() {
  using settings::AddressKey;
  using settings::IntegerKey;
  using settings::TextKey;
  return {
      {"control_address", AddressKey{true},
       "Where the router finds a control."},
      {"engine_address", AddressKey{true}, "Where the engine listens."},
      {"router_address", AddressKey{false},
       "The router's callers' port; without one the engine is asked."},
      {"fleet_key", TextKey{"", true, {}, true}, "Key of the fleet."},
      {"streams", IntegerKey{400, 1, 10000, ""}, "Requests open at once."},
      {"tokens", IntegerKey{100, 1, 100000, ""}, "Tokens of an answer."},
      {"interval_us", IntegerKey{16000, 0, 10000000, "us"},
       "Time between two tokens of an answer."},
      {"duration_s", IntegerKey{10, 1, 3600, "s"}, "Length of the run."},
  };
}

std::string Inventory(const Address& engine, int streams) {
  const nlohmann::json inventory = {
      {"regions", {{{"id", "here"}, {"zones", {"here-a"}}}}},
      {"services",
       {{{"id", "llm"},
         {"kind", "model"},
         {"models",
          {{{"id", kModel}, {"version", "1"}, {"max_output_tokens", 100000}}}},
         {"queue_limit", 10000}}}},
      {"backends",
       {{{"id", "engine"},
         {"service", "llm"},
         {"zone", "here-a"},
         {"address", dandelionmill::net::ToString(engine)},
         {"slots", streams}}}},
      {"accounts",
       {{{"id", "relay"},
         {"key_sha256", {dandelionmill::base::Sha256Hex(kKey)}},
         {"budgets", {{{"name", "default"}, {"granted", 1000000000}}}}}}}};
  return inventory.dump();
}

nlohmann::json ToJson(const Observed& observed) {
  return {{"complete", observed.complete},
          {"failed", observed.failed},
          {"events", observed.events},
          {"events_per_s", static_cast<double>(observed.steady_events) /
                               observed.steady_time.count()},
          {"first_token_us_p50", Percentile(observed.first_token_us, 50)},
          {"first_token_us_p95", Percentile(observed.first_token_us, 95)},
          {"event_us_p50", Percentile(observed.event_us, 50)},
          {"event_us_p95", Percentile(observed.event_us, 95)},
          {"event_us_p99", Percentile(observed.event_us, 99)}};
}

// Waits until the router has the configuration.
bool WaitUntilHealthy(const Address& router) {
  constexpr int kTries = 200;
  for (int i = 0; i < kTries; ++i) {
    if (IsHealthy(router))
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

int Run(const settings::Values& values) {
  const Address engine_address = values.AddressOf("engine_address");
  const Address router_address = values.AddressOf("router_address");
  const int streams = static_cast<int>(values.Integer("streams"));
  PacedEngine::Options engine_options;
  engine_options.bind = engine_address;
  engine_options.max_streams = streams + 64;
  engine_options.tokens = static_cast<int>(values.Integer("tokens"));
  engine_options.interval =
      std::chrono::microseconds(values.Integer("interval_us"));
  PacedEngine engine(engine_options);
  engine.Start();
  FakeControl::Options control_options;
  control_options.bind = values.AddressOf("control_address");
  control_options.fleet_key = values.Text("fleet_key");
  control_options.inventory = Inventory(engine_address, streams + 64);
  FakeControl control(control_options);
  control.Start();
  ClientOptions client;
  client.target = router_address.port == 0 ? engine_address : router_address;
  client.key = kKey;
  client.model = kModel;
  client.streams = streams;
  client.answer_time = engine_options.interval * engine_options.tokens;
  client.duration = std::chrono::seconds(values.Integer("duration_s"));
  if (router_address.port != 0 && !WaitUntilHealthy(router_address)) {
    std::cerr << "the router does not become healthy\n";
    return 1;
  }
  const Observed observed = RunClients(client);
  std::cout << ToJson(observed).dump() << "\n";
  engine.Stop();
  return observed.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace relay

int main(int argc, char** argv) {
  namespace settings = dandelionmill::settings;
  auto startup = settings::ParseDaemonCommandLine(
      argc, argv, "relay-bench", "measures how a router relays streams",
      relay::RelaySchema());
  if (const int* status = std::get_if<int>(&startup))
    return *status;
  const auto& run = std::get<settings::StartupOptions>(startup);
  dandelionmill::log::Initialize("relay", run.log_level);
  std::signal(SIGPIPE, SIG_IGN);
  return relay::Run(run.values);
}
