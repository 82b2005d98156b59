#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_COST_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_COST_H_

#include <optional>
#include <string>

#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/placement_request.h"
#include "dandelionmill/gateway/placement_state.h"
#include "dandelionmill/scheduling/load_estimate.h"

namespace dandelionmill::gateway {

// The parts of a prompt that requests share: all except the last.
struct SharedPrompt {
  // Id of the last shared part; empty if nothing is shared.
  std::string key;
  base::Tokens tokens = 0;
  const BackendEntry* home = nullptr;
  // Bytes exchanged for it with a home in another zone, which are credited to a
  // copy in this zone.
  double cross_zone_bytes = 0;
};

// One backend server that a request may be sent to.
struct PlacementCandidate {
  const BackendEntry& backend;
  const PlacementState& state;
  // Set if its load is estimated from reports with a work time.
  std::optional<scheduling::TrustedLoad> load;
  // Estimated prompt tokens that need prefill.
  base::Tokens uncached = 0;
};

// Expected time to the response or the first event.
double ExpectedWaitMs(const PlacementCandidate& candidate,
                      const PlacementRequest& request,
                      base::MonoTime now);

// The prefill cost of the shared parts that are not cached. Costs are in bytes
// between zones, the unit that the users price.
double PrefillCost(const PlacementCandidate& candidate,
                   const PlacementRequest& request,
                   const SharedPrompt& shared);

// The cost of a request at this backend server, `wait_ms` being its expected
// wait.
double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementRequest& request,
                     const SharedPrompt& shared,
                     double wait_ms,
                     base::MonoTime now);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PLACEMENT_COST_H_
