#ifndef SRC_DANDELIONMILL_ROUTING_POLICY_H_
#define SRC_DANDELIONMILL_ROUTING_POLICY_H_

#include <random>
#include <variant>

#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/routing/dispatcher.h"
#include "dandelionmill/routing/pool.h"

namespace dandelionmill::routing {

// Chooses a random backend server with a free slot.
struct RandomPolicy {};
// Chooses the lowest ratio of load to slots.
struct LeastInFlightPolicy {};
// Chooses the less loaded of two random backend servers (Mitzenmacher, 2001).
struct TwoChoicesPolicy {};
// Chooses the longest cached prefix of the prompt among the backend servers
// whose load is at most kLoadBound times the mean: consistent hashing with
// bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018) that ranks by cached
// prefix first and by hash second.
struct AffinityPolicy {
  static constexpr double kLoadBound = 1.25;
};

using Policy = std::variant<AffinityPolicy,
                            RandomPolicy,
                            LeastInFlightPolicy,
                            TwoChoicesPolicy>;

Policy PolicyOf(inventory::RoutingPolicy rule);

// Returns one of `candidates.free`, or nullptr if that is empty.
BackendState* ChooseBackend(const Policy& policy,
                            const Candidates& candidates,
                            const Request& request,
                            base::MonoTime now,
                            std::mt19937_64& random);

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_POLICY_H_
