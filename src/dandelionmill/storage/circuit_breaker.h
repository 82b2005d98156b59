#ifndef SRC_DANDELIONMILL_STORAGE_CIRCUIT_BREAKER_H_
#define SRC_DANDELIONMILL_STORAGE_CIRCUIT_BREAKER_H_

#include <chrono>

#include "dandelionmill/base/units.h"

namespace dandelionmill::storage {

// Decides whether a call to a service that keeps failing is worth making. While
// the service is out, one call at a time goes through as a probe and the others
// fail at once, so that no thread waits for a timeout whose outcome is known
// and no request is held back for it. After M. Nygard, "Release It!", 2007.
class CircuitBreaker {
 public:
  // Failures in a row after which the circuit opens.
  static constexpr int kFailuresToOpen = 4;
  // Least time between the starts of two probes.
  static constexpr std::chrono::milliseconds kProbePeriod{250};
  // A probe without an outcome for this long no longer holds up the next.
  static constexpr std::chrono::milliseconds kProbePatience{10000};

  enum class Permit {
    // Make the call.
    kCall,
    // Make the call, though the circuit is open.
    kProbe,
    // Fail at once.
    kNone
  };

  // Commands.
  // Asks to make a call. A call that was made must end with OnSuccess or
  // OnFailure.
  Permit TryBegin(base::MonoTime now);
  // The service answered, whatever it said.
  void OnSuccess();
  // The service could not be reached, or did not answer in time.
  void OnFailure();

  // Queries.
  bool IsOpen() const { return failures_ >= kFailuresToOpen; }

 private:
  int failures_ = 0;
  bool probing_ = false;
  base::MonoTime probe_began_;
};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_CIRCUIT_BREAKER_H_
