#ifndef SRC_DANDELIONMILL_BUDGET_LEASE_POLICY_H_
#define SRC_DANDELIONMILL_BUDGET_LEASE_POLICY_H_

#include <chrono>
#include <map>
#include <set>
#include <variant>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/budget/demand.h"
#include "dandelionmill/budget/row.h"

namespace dandelionmill::budget {

// Sizes the lease by demand, so that it lasts for `reserve` while the platform
// is unreachable.
struct DemandPolicy {
  std::chrono::milliseconds reserve{120000};
  // Number of zones that may draw from one budget; limits the share that each
  // draws.
  int zones = 1;
  // Whether other holders wait for tokens. No tokens are then kept for future
  // requests.
  bool scarce = false;
};

// Each instance draws an equal share of the granted tokens once.
struct FixedSplitPolicy {
  int instances = 1;
};

// The tokens of each request are drawn in a separate transaction.
struct PerRequestPolicy {};

using LeasePolicy =
    std::variant<DemandPolicy, FixedSplitPolicy, PerRequestPolicy>;

// The input of a lease policy.
struct SizingInput {
  // Tokens of the budget that are free to draw.
  base::Tokens free = 0;
  base::Tokens granted = 0;
  // Tokens drawn since the holder started.
  base::Tokens drawn = 0;
  // Tokens that the lease can still reserve.
  base::Tokens available = 0;
  // Tokens requested by the first waiting request and by all of them.
  base::Tokens first_waiting = 0;
  base::Tokens waiting = 0;
  // Demand in tokens per second, and the largest request in tokens.
  double rate = 0;
  base::Tokens largest = 0;
  // Time since the last request.
  std::chrono::milliseconds idle{0};
};

// Returns the number of tokens to draw, at most `input.free`; a negative number
// is to be returned to the budget.
base::Tokens PlanDraw(const LeasePolicy& policy, const SizingInput& input);

// Returns whether the lease differs enough from its target size to justify a
// write.
bool NeedsWrite(const LeasePolicy& policy, const SizingInput& input);

// Returns by how many tokens each router's ceiling exceeds its use when
// `available` tokens are shared by all `routers`. With smaller slices, less is
// written off when a router is lost, but requests are refused earlier when
// demand moves to one router during an outage of the table.
std::map<base::RouterId, base::Tokens> SplitAmongRouters(
    const std::set<base::RouterId>& routers,
    base::Tokens available,
    base::Tokens largest);

}  // namespace dandelionmill::budget

#endif  // SRC_DANDELIONMILL_BUDGET_LEASE_POLICY_H_
