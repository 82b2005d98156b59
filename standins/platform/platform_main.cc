#include <string>

#include "dandelionmill/settings/command_line.h"
#include "standins/platform/platform_server.h"
#include "standins/run_until_signal.h"

namespace {

dandelionmill::settings::Schema PlatformSchema() {
  using dandelionmill::settings::AddressKey;
  using dandelionmill::settings::IntegerKey;
  using dandelionmill::settings::TextKey;
  return {
      {"listen_address", AddressKey{true},
       "Address on which the stores are served."},
      {"admin_address", AddressKey{true},
       "Address of the port that sets faults."},
      {"platform_key", TextKey{"", true, {}, true},
       "Bearer token that callers must present."},
      {"writes_per_s", IntegerKey{300, 1, 1000000, "1/s"},
       "Write limit of the table and of the object store, each."},
      {"reads_per_s", IntegerKey{2000, 1, 1000000, "1/s"},
       "Read limit of the table and of the object store, each."},
      {"weight_reads_per_s", IntegerKey{2, 1, 1000, "1/s"},
       "Read limit of the weight store."},
      {"list_lag_ms", IntegerKey{2000, 0, 600000, "ms"},
       "Delay before a change of the instance list becomes visible."},
      {"seed", IntegerKey{1, 0, 1000000000, ""},
       "Random seed for lost answers."},
  };
}

}  // namespace

int main(int argc, char** argv) {
  using dandelionmill::settings::StartupOptions;
  auto startup = dandelionmill::settings::ParseDaemonCommandLine(
      argc, argv, "standin-platform",
      "stands in for the platform's stores in tests", PlatformSchema());
  if (const int* status = std::get_if<int>(&startup))
    return *status;
  const auto& values = std::get<StartupOptions>(startup).values;
  dandelionmill::log::Initialize("standin-platform",
                                 std::get<StartupOptions>(startup).log_level);
  standins::platform::PlatformServer::Options options;
  options.listen = values.AddressOf("listen_address");
  options.admin = values.AddressOf("admin_address");
  options.key = values.Text("platform_key");
  options.writes_per_s = static_cast<double>(values.Integer("writes_per_s"));
  options.reads_per_s = static_cast<double>(values.Integer("reads_per_s"));
  options.weight_reads_per_s =
      static_cast<double>(values.Integer("weight_reads_per_s"));
  options.list_lag = values.Duration("list_lag_ms");
  options.seed = static_cast<std::uint64_t>(values.Integer("seed"));
  return standins::RunUntilSignal<standins::platform::PlatformServer>(
      "standin-platform", options);
}
