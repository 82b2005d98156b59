#ifndef SRC_DANDELIONMILL_INVENTORY_INTERNAL_ENUM_NAMES_H_
#define SRC_DANDELIONMILL_INVENTORY_INTERNAL_ENUM_NAMES_H_

#include <string>
#include <vector>

namespace dandelionmill::inventory::internal {

// JSON names of the enumerators, in the order of their declaration.
inline const std::vector<std::string> kServiceKinds = {"model", "plain"};
inline const std::vector<std::string> kLeasePolicies = {"demand", "fixed_split",
                                                        "per_request"};
inline const std::vector<std::string> kRoutingPolicies = {
    "affinity", "random", "least_in_flight", "two_choices"};
inline const std::vector<std::string> kSpills = {"always", "when_local_full",
                                                 "never"};

}  // namespace dandelionmill::inventory::internal

#endif  // SRC_DANDELIONMILL_INVENTORY_INTERNAL_ENUM_NAMES_H_
