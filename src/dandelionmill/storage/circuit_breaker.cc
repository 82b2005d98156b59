#include "dandelionmill/storage/circuit_breaker.h"

#include <algorithm>

namespace dandelionmill::storage {

CircuitBreaker::Permit CircuitBreaker::TryBegin(base::MonoTime now) {
  if (!IsOpen())
    return Permit::kCall;
  const auto since_probe = now - probe_began_;
  if (since_probe < (probing_ ? kProbePatience : kProbePeriod))
    return Permit::kNone;
  probing_ = true;
  probe_began_ = now;
  return Permit::kProbe;
}

void CircuitBreaker::OnSuccess() {
  failures_ = 0;
  probing_ = false;
}

void CircuitBreaker::OnFailure() {
  // Calls that were under way when the circuit opened end as failures too.
  failures_ = std::min(failures_ + 1, kFailuresToOpen);
  probing_ = false;
}

}  // namespace dandelionmill::storage
