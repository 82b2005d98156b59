#ifndef SRC_DANDELIONMILL_BUDGET_DEMAND_H_
#define SRC_DANDELIONMILL_BUDGET_DEMAND_H_

#include <chrono>
#include <optional>

#include "dandelionmill/base/units.h"

namespace dandelionmill::budget {

// Estimates the token demand on one budget as an exponentially weighted
// average.
class DemandMeter {
 public:
  // Counts a request for `tokens` at `now`.
  void Add(base::Tokens tokens, base::MonoTime now);
  // Subtracts the tokens that a request asked for but did not use.
  void SubtractUnused(base::Tokens unused);

  // Returns the estimated demand at `now` in tokens per second; 0 before the
  // first request.
  double PerSecond(base::MonoTime now) const;
  // Returns the tokens of the largest request counted so far.
  base::Tokens largest() const { return largest_; }
  // Returns the time since the last request; milliseconds::max() before the
  // first one.
  std::chrono::milliseconds IdleFor(base::MonoTime now) const;

 private:
  double DecayedTokensAt(base::MonoTime now) const;

  double decayed_tokens_ = 0;
  base::Tokens largest_ = 0;
  std::optional<base::MonoTime> first_request_;
  base::MonoTime last_request_;
};

}  // namespace dandelionmill::budget

#endif  // SRC_DANDELIONMILL_BUDGET_DEMAND_H_
