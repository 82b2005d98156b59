#ifndef SRC_DANDELIONMILL_ROUTING_BACKEND_STATE_H_
#define SRC_DANDELIONMILL_ROUTING_BACKEND_STATE_H_

#include <set>
#include <string>

#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/routing/cached_blocks.h"
#include "dandelionmill/routing/health.h"
#include "dandelionmill/routing/load_estimate.h"

namespace dandelionmill::routing {

// Network distance of a backend server from this router. Traffic outside the
// zone is billed by volume.
enum class Tier { kZone, kRegion, kRemote };

// What this router knows about a backend server.
struct BackendState {
  inventory::Backend spec;
  Tier tier = Tier::kZone;
  // No longer in the inventory; kept until its last request has ended.
  bool removed = false;
  // The instance list marks it as leaving.
  bool listed_leaving = false;
  // The backend server has reported that it is leaving.
  bool reported_leaving = false;
  // No request is sent before this time, set when the server rejects one.
  base::MonoTime busy_until;
  LoadEstimate load;
  Health health;
  CachedBlocks cache;
  // Reported models and adapters; empty if not reported.
  std::set<std::string> models;

  bool IsLeaving() const {
    return removed || listed_leaving || reported_leaving;
  }
  // Whether it serves this model and adapter; true if it has reported none.
  // Reports list models as "id" or "id@version" and adapters by name.
  bool Serves(const base::ModelId& model, const std::string& adapter) const {
    if (model.empty() || models.empty())
      return true;
    const std::string versions = model.value() + "@";
    const auto next = models.lower_bound(versions);
    const bool has_version = next != models.end() &&
                             next->compare(0, versions.size(), versions) == 0;
    return (has_version || models.count(model.value()) > 0) &&
           (adapter.empty() || models.count(adapter) > 0);
  }
  // Number of further requests that this router may send now; can be negative.
  int FreeSlots(base::MonoTime now) const {
    if (IsLeaving() || now < busy_until)
      return 0;
    return health.AllowedSlots(spec.slots, now) - load.Total(now);
  }
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_BACKEND_STATE_H_
