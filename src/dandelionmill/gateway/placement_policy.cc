#include "dandelionmill/gateway/placement_policy.h"

namespace dandelionmill::gateway {

const std::vector<std::string>& PlacementPolicyNames() {
  static const std::vector<std::string> names = {
      "cost", "random", "two_choices", "least_in_flight", "affinity"};
  return names;
}

base::Result<PlacementPolicy> ParsePlacementPolicy(const std::string& name) {
  if (name == "cost")
    return PlacementPolicy(ByCost{});
  if (name == "random")
    return PlacementPolicy(RandomChoice{});
  if (name == "two_choices")
    return PlacementPolicy(TwoChoices{});
  if (name == "least_in_flight")
    return PlacementPolicy(LeastInFlight{});
  if (name == "affinity")
    return PlacementPolicy(PromptAffinity{});
  return base::Error{base::Code::kBadSetting,
                     "unknown placement policy \"" + name + "\""};
}

}  // namespace dandelionmill::gateway
