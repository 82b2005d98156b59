#include <malloc.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "dandelionmill/gateway/gateway.h"
#include "dandelionmill/gateway/gateway_settings.h"
#include "dandelionmill/gateway/loop_runner.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/node_settings.h"
#include "dandelionmill/settings/command_line.h"

namespace dandelionmill::gateway {
namespace {

constexpr int kExitFailed = 1;

// Larger blocks are returned to the system as soon as they are freed. The
// allocator's default grows with the blocks that are freed, and then keeps the
// memory of bodies and responses that were dropped.
constexpr int kReturnedBlockBytes = 128 << 10;

// The platform may change its settings file without sending SIGHUP.
constexpr std::chrono::milliseconds kSettingsPollInterval{5000};

void Reload(Gateway& gateway) {
  const auto settings = platform::LoadNodeSettings();
  if (base::IsOk(settings)) {
    gateway.Reload(base::ValueOf(settings));
  } else {
    log::Event(log::Level::kError, "settings_rejected")
        .With(base::ErrorOf(settings));
  }
}

void WaitForSignals(boost::asio::signal_set& signals,
                    boost::asio::io_context& loop,
                    Gateway& gateway) {
  signals.async_wait([&](boost::system::error_code error, int number) {
    if (error)
      return;
    if (number == SIGHUP) {
      Reload(gateway);
    } else {
      gateway.Shutdown([&loop] { loop.stop(); });
    }
    WaitForSignals(signals, loop, gateway);
  });
}

int Run(const settings::StartupOptions& startup) {
  log::InitializeBounded(
      "gateway", startup.log_level,
      static_cast<int>(startup.values.Integer("log_lines_per_s")));
  const auto settings = platform::LoadNodeSettings();
  if (!base::IsOk(settings)) {
    std::cerr << base::ToString(base::ErrorOf(settings)) << "\n";
    return settings::kExitUsage;
  }
  boost::asio::io_context loop(1);
  const auto placement = ParsePlacementPolicy(startup.values.Text("placement"));
  if (!base::IsOk(placement)) {
    std::cerr << base::ToString(base::ErrorOf(placement)) << "\n";
    return settings::kExitUsage;
  }
  LoopRunner runner(loop);
  Gateway gateway(
      loop, base::ValueOf(settings),
      {static_cast<int>(startup.values.Integer("metrics_port")),
       static_cast<int>(startup.values.Integer("memory_percent")),
       base::ValueOf(placement), [&runner] { return runner.backlog_share(); }});
  const base::Status status = gateway.Start();
  if (!base::IsOk(status)) {
    std::cerr << base::ToString(base::ErrorOf(status)) << "\n";
    return kExitFailed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
  WaitForSignals(signals, loop, gateway);
  std::string last_text = platform::ReadNodeSettingsText();
  timer::LoopTimerService timers(loop);
  timers.Subscribe(kSettingsPollInterval, [&](base::MonoTime) {
    std::string text = platform::ReadNodeSettingsText();
    if (text != last_text) {
      last_text = std::move(text);
      Reload(gateway);
    }
  });
  runner.Run();
  return 0;
}

}  // namespace
}  // namespace dandelionmill::gateway

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, dandelionmill::gateway::kReturnedBlockBytes);
  const auto startup = dandelionmill::settings::ParseDaemonCommandLine(
      argc, argv, "dandelion-gateway",
      "forwards callers' requests to backend servers on the users' platform",
      dandelionmill::gateway::GatewaySchema());
  if (const int* status = std::get_if<int>(&startup))
    return *status;
  // Skips static destructors: that of the logging library waits for its threads
  // and would delay the exit of a process that has shut down.
  std::quick_exit(dandelionmill::gateway::Run(
      std::get<dandelionmill::settings::StartupOptions>(startup)));
}
