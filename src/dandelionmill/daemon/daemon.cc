#include "dandelionmill/daemon/daemon.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

#include "dandelionmill/base/units.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/settings/command_line.h"

namespace dandelionmill::daemon {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollPeriod{50};

volatile std::sig_atomic_t shutdown_requested = 0;

void RequestShutdown(int) {
  shutdown_requested = 1;
}

void InstallSignalHandlers() {
  std::signal(SIGTERM, RequestShutdown);
  std::signal(SIGINT, RequestShutdown);
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

// Waits until `daemon` is drained. Returns false if it is not by `deadline`.
bool Drain(const Daemon& daemon, base::MonoTime deadline) {
  while (!daemon.IsDrained()) {
    if (steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

int Serve(Daemon& daemon,
          const Program& program,
          const settings::Values& values) {
  const base::Status started = daemon.Start();
  if (!base::IsOk(started)) {
    std::cerr << program.name << ": " << base::ToString(base::ErrorOf(started))
              << "\n";
    return 1;
  }
  while (shutdown_requested == 0 && !daemon.IsShutdownRequested())
    std::this_thread::sleep_for(kPollPeriod);
  daemon.BeginDrain();
  const bool drained =
      Drain(daemon, steady_clock::now() + values.Duration("drain_timeout_ms"));
  daemon.Stop();
  log::Event(log::Level::kInfo, "stopped").With("drained", drained);
  return drained ? 0 : 1;
}

}  // namespace

int Main(int argc, char** argv, const Program& program) {
  const auto startup = settings::ParseDaemonCommandLine(
      argc, argv, program.name, program.purpose, program.schema);
  if (const int* status = std::get_if<int>(&startup))
    return *status;
  const auto& run = std::get<settings::StartupOptions>(startup);
  log::Initialize(program.name.substr(program.name.find('-') + 1),
                  run.log_level);
  InstallSignalHandlers();
  const std::unique_ptr<Daemon> daemon = program.make(run.values);
  return Serve(*daemon, program, run.values);
}

}  // namespace dandelionmill::daemon
