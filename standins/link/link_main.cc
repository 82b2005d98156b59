#include <string>

#include "dandelionmill/settings/command_line.h"
#include "standins/link/link_server.h"
#include "standins/run_until_signal.h"

int main(int argc, char** argv) {
  using dandelionmill::settings::AddressKey;
  using dandelionmill::settings::StartupOptions;
  const dandelionmill::settings::Schema schema = {
      {"listen_address", AddressKey{true},
       "Address on which connections are accepted."},
      {"target_address", AddressKey{true},
       "Address to which connections are relayed."},
      {"admin_address", AddressKey{true},
       "Address of the port that sets faults."},
  };
  auto startup = dandelionmill::settings::ParseDaemonCommandLine(
      argc, argv, "standin-link",
      "stands in for a network link between two processes in tests", schema);
  if (const int* status = std::get_if<int>(&startup))
    return *status;
  const auto& values = std::get<StartupOptions>(startup).values;
  dandelionmill::log::Initialize("standin-link",
                                 std::get<StartupOptions>(startup).log_level);
  return standins::RunUntilSignal<standins::link::LinkServer>(
      "standin-link",
      {values.AddressOf("listen_address"), values.AddressOf("target_address"),
       values.AddressOf("admin_address")});
}
