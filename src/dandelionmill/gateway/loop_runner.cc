#include "dandelionmill/gateway/loop_runner.h"

#include <exception>

#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A sample costs a clock reading for each handler and a system call for each
// wait, so most of the time is left out.
constexpr milliseconds kSampleTime{40};
constexpr milliseconds kSampleInterval{200};

// Weight of one sample in the moving average.
constexpr double kBacklogSmoothing = 0.3;

// Runs `step`, which may run handlers.
template <class Step>
void Guard(Step step) {
  try {
    step();
  } catch (const std::exception& error) {
    log::Event(log::Level::kError, "handler_failed")
        .With("reason", error.what());
  }
}

}  // namespace

void LoopRunner::Run() {
  while (!loop_.stopped()) {
    RunUntil(steady_clock::now() + kSampleInterval);
    if (!loop_.stopped())
      RunSample(steady_clock::now() + kSampleTime);
  }
}

void LoopRunner::RunUntil(base::MonoTime end) {
  while (!loop_.stopped() && steady_clock::now() < end)
    Guard([&] { loop_.run_until(end); });
}

bool LoopRunner::PollOne() {
  // A handler that throws has run.
  bool has_run = true;
  Guard([&] { has_run = loop_.poll_one() > 0; });
  return has_run;
}

void LoopRunner::WaitForOne(base::MonoTime end) {
  Guard([&] { loop_.run_one_until(end); });
}

void LoopRunner::RunSample(base::MonoTime end) {
  const base::MonoTime begin = steady_clock::now();
  duration<double> backlog{0};
  base::MonoTime now = begin;
  while (!loop_.stopped() && now < end) {
    const bool has_run = PollOne();
    const base::MonoTime after = steady_clock::now();
    backlog += after - now;
    now = after;
    if (has_run || loop_.stopped() || now >= end)
      continue;
    WaitForOne(end);
    now = steady_clock::now();
  }
  const duration<double> sampled = now - begin;
  if (sampled.count() > 0)
    backlog_share_ += kBacklogSmoothing * (backlog / sampled - backlog_share_);
}

}  // namespace dandelionmill::gateway
