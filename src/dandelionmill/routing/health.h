#ifndef SRC_DANDELIONMILL_ROUTING_HEALTH_H_
#define SRC_DANDELIONMILL_ROUTING_HEALTH_H_

#include <chrono>

#include "dandelionmill/base/units.h"

namespace dandelionmill::routing {

// Exponentially weighted moving average of a latency, with a sample count.
class LatencyAverage {
 public:
  using Seconds = std::chrono::duration<double>;
  // Samples needed before the mean is used.
  static constexpr int kMinSamples = 8;

  void Add(Seconds sample) {
    mean_ = count_ == 0 ? sample : mean_ + (sample - mean_) * kGain;
    ++count_;
  }
  void Reset() { count_ = 0; }
  bool IsKnown() const { return count_ >= kMinSamples; }
  Seconds mean() const { return mean_; }

 private:
  static constexpr double kGain = 0.2;

  int count_ = 0;
  Seconds mean_{0};
};

// The health of one backend server as observed by this router: ejects it after
// failures, with exponential backoff, then admits one request as a probe and
// readmits the server with a slow start. Performs no I/O.
class Health {
 public:
  // Consecutive failed attempts that eject a server.
  static constexpr int kFailuresToEject = 3;
  // Consecutive failed load reports that eject a server.
  static constexpr int kFailedReportsToEject = 2;
  static constexpr std::chrono::milliseconds kMinEjection{1000};
  static constexpr std::chrono::milliseconds kMaxEjection{30000};
  // Time until a readmitted server may use all its slots.
  static constexpr std::chrono::milliseconds kSlowStartDuration{10000};

  // Commands.
  void OnSuccess(base::MonoTime now);
  // `down` is true if the server is known to be down.
  void OnFailure(bool down, base::MonoTime now);
  // Ejects a server that responds but is far slower than its peers.
  void EjectAsSlow(base::MonoTime now);
  void OnReport(base::MonoTime now);
  void OnReportFailed(base::MonoTime now);
  void OnProbeSent() { probing_ = true; }
  // The probe ended without evidence about the health of the server.
  void OnProbeInconclusive() { probing_ = false; }
  // Begins a slow start, also used for a server added to a pool in use.
  void BeginSlowStart(base::MonoTime now) {
    slow_start_at_ = now;
    slow_starting_ = true;
  }

  // Queries.
  bool IsEjected() const { return ejected_; }
  bool IsEjectedAsSlow() const { return ejected_ && slow_; }
  // Whether an ejected server may be sent one request as a probe.
  bool IsProbeDue(base::MonoTime now) const;
  // Returns how many of `slots` may be used now: a growing share, at least 1,
  // during a slow start and all of them otherwise.
  int AllowedSlots(int slots, base::MonoTime now) const;

  // Time to the first event of the answer.
  LatencyAverage first_event;
  // Run time of completed requests per expected token.
  LatencyAverage run_per_token;

 private:
  void Eject(bool slow, base::MonoTime now);

  int failures_ = 0;
  int failed_reports_ = 0;
  int ejections_ = 0;
  bool ejected_ = false;
  bool slow_ = false;
  bool probing_ = false;
  bool last_report_failed_ = false;
  bool slow_starting_ = false;
  base::MonoTime ejected_until_;
  base::MonoTime slow_start_at_;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_HEALTH_H_
