#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_

#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/result.h"

namespace dandelionmill::gateway {

// Policies to choose one of the usable backend servers. All except ByCost are
// baselines for comparisons.

// The one with the lowest estimated cost.
struct ByCost {};
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
