#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_

#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/result.h"

namespace dandelionmill::gateway {

// How one of the usable backend servers is chosen. All but ByCost are
// baselines, for comparisons.

// The one where the request costs least.
struct ByCost {};
// Any.
struct AtRandom {};
// Of two drawn at random, the one with fewer requests from here.
struct OfTwo {};
// The one with the fewest requests from here.
struct LeastInFlight {};
// The home of the request's shared prompt; without one, least in flight.
struct AtHome {};

using PlacementPolicy =
    std::variant<ByCost, AtRandom, OfTwo, LeastInFlight, AtHome>;

// Returns the names that ParsePlacementPolicy knows.
const std::vector<std::string>& PlacementPolicyNames();

// Fails with kBadSetting for an unknown name.
base::Result<PlacementPolicy> ParsePlacementPolicy(const std::string& name);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PLACEMENT_POLICY_H_
