#include "dandelionmill/storage/circuit_breaker.h"

#include <algorithm>

namespace dandelionmill::storage {

CircuitBreaker::Permit CircuitBreaker::TryBegin(base::MonoTime now) {
  if (!IsOpen())
    return Permit::kCall;
  const auto since_probe = now - probe_start_;
  if (since_probe < (is_probing_ ? kProbeTimeout : kProbePeriod))
    return Permit::kNone;
  is_probing_ = true;
  probe_start_ = now;
  return Permit::kProbe;
}

void CircuitBreaker::OnSuccess() {
  consecutive_failures_ = 0;
  is_probing_ = false;
}

void CircuitBreaker::OnFailure() {
  // Calls that were pending when the circuit opened may fail after it, so the
  // count is capped.
  consecutive_failures_ = std::min(consecutive_failures_ + 1, kFailuresToOpen);
  is_probing_ = false;
}

}  // namespace dandelionmill::storage
