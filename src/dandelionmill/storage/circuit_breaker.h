#ifndef SRC_DANDELIONMILL_STORAGE_CIRCUIT_BREAKER_H_
#define SRC_DANDELIONMILL_STORAGE_CIRCUIT_BREAKER_H_

#include <chrono>

#include "dandelionmill/base/units.h"

namespace dandelionmill::storage {

// Suppresses calls to a service that keeps failing. While the circuit is open,
// one call at a time is let through as a probe and the others fail immediately,
// so that neither threads nor requests wait for calls that are going to time
// out. See M. Nygard, "Release It!", 2007.
class CircuitBreaker {
 public:
  // Number of consecutive failures that opens the circuit.
  static constexpr int kFailuresToOpen = 4;
  // Minimum time between the starts of two probes.
  static constexpr std::chrono::milliseconds kProbePeriod{250};
  // A probe whose outcome is not reported within this time no longer blocks the
  // next one.
  static constexpr std::chrono::milliseconds kProbeTimeout{10000};

  enum class Permit {
    // Make the call.
    kCall,
    // Make the call, though the circuit is open.
    kProbe,
    // Fail immediately, without a call.
    kNone
  };

  // Commands.
  // Requests permission for a call. The caller must report the outcome of a
  // permitted call through OnSuccess or OnFailure.
  Permit TryBegin(base::MonoTime now);
  // Reports that the service responded, even if with an error.
  void OnSuccess();
  // Reports that the service was unreachable or timed out.
  void OnFailure();

  // Queries.
  bool IsOpen() const { return consecutive_failures_ >= kFailuresToOpen; }

 private:
  int consecutive_failures_ = 0;
  bool is_probing_ = false;
  base::MonoTime probe_start_;
};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_CIRCUIT_BREAKER_H_
