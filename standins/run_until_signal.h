#ifndef STANDINS_RUN_UNTIL_SIGNAL_H_
#define STANDINS_RUN_UNTIL_SIGNAL_H_

#include <csignal>
#include <iostream>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/log/event.h"

namespace standins {

// Constructs and starts a server (Start and Stop as in net::HttpServer), waits
// for SIGTERM or SIGINT, stops the server and returns the exit status: 0, or 1
// if the server failed to start. Must be called from main before any thread is
// created, because new threads inherit the blocked signal mask.
template <class Server>
int RunUntilSignal(const std::string& program,
                   const typename Server::Options& options) {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  Server server(options);
  const dandelionmill::base::Status status = server.Start();
  if (!dandelionmill::base::IsOk(status)) {
    std::cerr << program << ": "
              << dandelionmill::base::ToString(
                     dandelionmill::base::ErrorOf(status))
              << "\n";
    return 1;
  }
  dandelionmill::log::Event(dandelionmill::log::Level::kInfo, "started")
      .With("program", program);
  int signal = 0;
  sigwait(&stop_signals, &signal);
  server.Stop();
  return 0;
}

}  // namespace standins

#endif  // STANDINS_RUN_UNTIL_SIGNAL_H_
