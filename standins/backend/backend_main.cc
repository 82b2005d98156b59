#include <string>

#include "dandelionmill/settings/command_line.h"
#include "standins/backend/backend_server.h"
#include "standins/run_until_signal.h"

namespace {

dandelionmill::settings::Schema BackendSchema() {
  using dandelionmill::settings::AddressKey;
  using dandelionmill::settings::BooleanKey;
  using dandelionmill::settings::IntegerKey;
  using dandelionmill::settings::TextKey;
  using dandelionmill::settings::TextListKey;
  return {
      {"listen_address", AddressKey{true},
       "Address on which the service listens."},
      {"admin_address", AddressKey{true},
       "Address of the port that sets faults and returns records."},
      {"id", TextKey{"", true, {}, false}, "Name of this backend server."},
      {"kind", TextKey{"model", false, {"model", "plain"}, false},
       "Model engine or plain service."},
      {"models", TextListKey{}, "Models loaded at startup."},
      {"slots", IntegerKey{8, 1, 4096, ""}, "Requests that run concurrently."},
      {"token_interval_us", IntegerKey{37000, 100, 60000000, "us"},
       "Time between tokens, or duration of a call to a plain service."},
      {"prefill_us_per_token", IntegerKey{100, 0, 1000000, "us"},
       "Time to process a prompt token that is not cached."},
      {"checks_fencing", BooleanKey{false},
       "Whether orders with an outdated fencing number are refused."},
      {"kv_blocks", IntegerKey{4096, 0, 10000000, ""},
       "Capacity of the prefix cache in blocks."},
      {"load_lag_ms", IntegerKey{500, 0, 600000, "ms"},
       "Age of load reports and delay of cache events."},
      {"seed", IntegerKey{1, 0, 1000000000, ""}, "Random seed for faults."},
      {"records_file", TextKey{"", false, {}, false},
       "File in which records persist across restarts; none if empty."},
      {"max_connections", IntegerKey{256, 1, 20000, ""},
       "Limit of concurrent connections."},
      {"load_ms", IntegerKey{1000, 0, 3600000, "ms"}, "Time to load a model."},
      {"weight_store", AddressKey{false},
       "Address of the platform, for loading weights; none if absent."},
      {"platform_key", TextKey{"", false, {}, true},
       "Bearer token for the platform."},
  };
}

standins::backend::BackendServer::Options ToOptions(
    const dandelionmill::settings::Values& values) {
  standins::backend::BackendServer::Options options;
  options.listen = values.AddressOf("listen_address");
  options.admin = values.AddressOf("admin_address");
  options.id = values.Text("id");
  options.kind = values.Text("kind") == "plain"
                     ? standins::backend::Kind::kPlain
                     : standins::backend::Kind::kModel;
  options.models = values.TextList("models");
  options.slots = static_cast<int>(values.Integer("slots"));
  options.token_interval =
      std::chrono::microseconds(values.Integer("token_interval_us"));
  options.prefill_per_token =
      std::chrono::microseconds(values.Integer("prefill_us_per_token"));
  options.checks_fencing = values.Boolean("checks_fencing");
  options.kv_blocks = static_cast<std::size_t>(values.Integer("kv_blocks"));
  options.load_lag = values.Duration("load_lag_ms");
  options.seed = static_cast<std::uint64_t>(values.Integer("seed"));
  options.records_file = values.Text("records_file");
  options.max_connections = static_cast<int>(values.Integer("max_connections"));
  options.load_time = values.Duration("load_ms");
  options.weight_store = values.AddressOf("weight_store");
  options.platform_key = values.Text("platform_key");
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  using dandelionmill::settings::StartupOptions;
  auto startup = dandelionmill::settings::ParseDaemonCommandLine(
      argc, argv, "standin-backend",
      "stands in for a model engine or a plain service in tests",
      BackendSchema());
  if (const int* status = std::get_if<int>(&startup))
    return *status;
  dandelionmill::log::Initialize("standin-backend",
                                 std::get<StartupOptions>(startup).log_level);
  return standins::RunUntilSignal<standins::backend::BackendServer>(
      "standin-backend", ToOptions(std::get<StartupOptions>(startup).values));
}
