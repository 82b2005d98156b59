#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_

#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/scheduling/load_estimate.h"

namespace dandelionmill::gateway {

// Policies to choose one of the usable backend servers. All except ByCost are
// baselines for comparisons.

// How load reports that have a work time are used. Reports without one are
// always used in the same way. The default is what the product does.
struct LoadReportUse {
  bool is_enabled = false;
  scheduling::LoadEstimateOptions estimate;
  // Whether the home of a shared prompt is preferred as long as its expected
  // wait meets the latency objective.
  bool keeps_home = false;
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
