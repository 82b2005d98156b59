#ifndef SRC_DANDELIONMILL_ROUTING_RUN_TIME_ESTIMATE_H_
#define SRC_DANDELIONMILL_ROUTING_RUN_TIME_ESTIMATE_H_

#include <chrono>

#include "dandelionmill/base/units.h"

namespace dandelionmill::routing {

// Moving averages of the run time of requests and of its mean deviation, as for
// the round-trip time in RFC 6298.
class RunTimeEstimate {
 public:
  using Seconds = std::chrono::duration<double>;

  void Add(base::MonoTime::duration elapsed) {
    const Seconds sample = elapsed;
    if (known_) {
      const Seconds error = sample - mean_;
      deviation_ +=
          ((error < error.zero() ? -error : error) - deviation_) * kGain;
      mean_ += error * kGain;
    } else {
      mean_ = sample;
    }
    known_ = true;
  }
  // 0 until a request has completed.
  Seconds mean() const { return mean_; }

  // A duration that runs rarely exceed; a request with less remaining time is
  // not started.
  Seconds UpperEstimate() const { return mean_ + 2 * deviation_; }

  // Expected wait behind `ahead` queued requests while `running` requests run
  // concurrently; 0 if none is running.
  Seconds EstimateWait(int ahead, int running) const {
    return running <= 0 ? Seconds{0} : mean_ * (ahead + 1) / running;
  }

 private:
  static constexpr double kGain = 0.1;

  bool known_ = false;
  Seconds mean_{0};
  Seconds deviation_{0};
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_RUN_TIME_ESTIMATE_H_
