#ifndef SRC_DANDELIONMILL_GATEWAY_LOOP_RUNNER_H_
#define SRC_DANDELIONMILL_GATEWAY_LOOP_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Runs the event loop of a process on the calling thread. An exception that a
// handler lets through is logged and ends that handler only. Measures, in short
// samples, in which share of the time handlers are waiting for others: a full
// processor shows in it, whatever share of a core the process has.
class LoopRunner {
 public:
  // `loop` must outlive this.
  explicit LoopRunner(boost::asio::io_context& loop) : loop_(loop) {}

  // Command. Returns when the loop is stopped or has no work left.
  void Run();

  // Query. From 0 to 1, as an exponential moving average. The first handler
  // after a wait does not count, so it is about the square of the share of the
  // time in which the process is busy.
  double backlog_share() const { return backlog_share_; }

 private:
  // Runs handlers without measuring.
  void RunUntil(base::MonoTime end);
  void RunSample(base::MonoTime end);
  // Runs one handler if one is ready. Returns whether it did.
  bool PollOne();
  // Waits for a handler to be ready, until `end` at the latest, and runs it.
  void WaitForOne(base::MonoTime end);

  boost::asio::io_context& loop_;
  double backlog_share_ = 0;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_LOOP_RUNNER_H_
