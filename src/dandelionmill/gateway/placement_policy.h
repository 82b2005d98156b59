#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_

#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/scheduling/load_estimate.h"

namespace dandelionmill::gateway {

// Policies to choose one of the usable backend servers. All except ByCost are
// baselines for comparisons.

// How load reports that have a work time are used. Reports without one are
// always used in the same way. The default is what the product does; other
// values are baselines for comparisons.
struct LoadReportUse {
  bool is_enabled = true;
  scheduling::LoadEstimateOptions estimate;
  // The home of a shared prompt is kept as long as its expected wait is at most
  // this share of the latency objective; 0 leaves the choice to the cost. Above
  // 1, since the expected wait ignores that engines admit urgent requests
  // first: at 1 prompts were read again for waits that met the objective.
  double home_objective_share = 1.5;
  // For shared prompts up to this size the cost decides: their prefill takes
  // less than 15 ms, and keeping them at busy homes made more responses late.
  base::Tokens min_kept_tokens = 1000;
  // Chooses the cheaper of two random ones among the backend servers whose cost
  // exceeds the lowest by at most this; 0 chooses the one of lowest cost.
  double drawn_within_cost = 0;
};

// The one with the lowest estimated cost.
struct ByCost {
  LoadReportUse reports;
};
// A random one.
struct RandomChoice {};
// Of two random ones, the one with fewer requests in flight from this instance.
struct TwoChoices {};
// The one with the fewest requests in flight from this instance.
struct LeastInFlight {};
// The home of the request's shared prompt; least in flight if it has none.
struct PromptAffinity {};

using PlacementPolicy = std::
    variant<ByCost, RandomChoice, TwoChoices, LeastInFlight, PromptAffinity>;

// Returns the names that ParsePlacementPolicy accepts.
const std::vector<std::string>& PlacementPolicyNames();

// Fails with kBadSetting for an unknown name.
base::Result<PlacementPolicy> ParsePlacementPolicy(const std::string& name);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_
