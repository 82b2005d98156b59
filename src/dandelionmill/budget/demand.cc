#include "dandelionmill/budget/demand.h"

#include <algorithm>
#include <cmath>

namespace dandelionmill::budget {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constant of the exponentially weighted average.
constexpr Seconds kTimeConstant{30};
// Minimum age assumed for the meter, so that the first request alone does not
// produce a very high rate.
constexpr Seconds kMinAge{2};

}  // namespace

double DemandMeter::DecayedTokensAt(base::MonoTime now) const {
  const Seconds age = std::max(Seconds(0), Seconds(now - last_request_));
  return decayed_tokens_ * std::exp(-age / kTimeConstant);
}

void DemandMeter::Add(base::Tokens tokens, base::MonoTime now) {
  if (!first_request_)
    first_request_ = now;
  decayed_tokens_ = DecayedTokensAt(now) + static_cast<double>(tokens);
  last_request_ = std::max(last_request_, now);
  largest_ = std::max(tokens, largest_);
}

void DemandMeter::SubtractUnused(base::Tokens unused) {
  decayed_tokens_ =
      std::max(0.0, decayed_tokens_ - static_cast<double>(unused));
}

double DemandMeter::PerSecond(base::MonoTime now) const {
  if (!first_request_)
    return 0;
  const Seconds age = std::max(kMinAge, Seconds(now - *first_request_));
  const double coverage = 1 - std::exp(-age / kTimeConstant);
  return DecayedTokensAt(now) / (kTimeConstant.count() * coverage);
}

std::chrono::milliseconds DemandMeter::IdleFor(base::MonoTime now) const {
  if (!first_request_)
    return std::chrono::milliseconds::max();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               last_request_);
}

}  // namespace dandelionmill::budget
