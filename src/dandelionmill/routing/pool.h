#ifndef SRC_DANDELIONMILL_ROUTING_POOL_H_
#define SRC_DANDELIONMILL_ROUTING_POOL_H_

#include <map>
#include <set>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/routing/backend_state.h"
#include "dandelionmill/routing/dispatcher.h"

namespace dandelionmill::routing {

// The backend servers that may be sent a given request.
struct Candidates {
  using Backends = std::vector<BackendState*>;

  // Those in the searched tiers that could run it, now or after a wait.
  Backends usable;
  // The usable ones that have a free slot and are not excluded.
  Backends free;
  // An ejected backend server that is due for a probe, or nullptr.
  BackendState* probe = nullptr;
};

// The backend servers of one service.
class Pool {
 public:
  // Commands.
  // Updates the backend servers of the service from `config`. One that is no
  // longer configured is kept until its last request has ended.
  void Configure(const inventory::Snapshot& config,
                 const base::ServiceId& service,
                 const base::ZoneId& zone,
                 base::MonoTime now);
  void SetLeaving(const std::set<base::BackendId>& leaving);
  // Returns nullptr if the backend server is not in the pool.
  BackendState* Find(const base::BackendId& id);
  // Erases backend servers that are no longer configured and have no requests.
  void DropRemoved();

  // Ejects backend servers that are far slower than their peers, up to a
  // quarter of the pool but at least one.
  void EjectSlowBackends(base::MonoTime now);
  // Returns the nearest backend servers for `request`. Those in `excluded` are
  // not free. Ejected ones are skipped unless all are ejected.
  Candidates FindCandidates(const Request& request,
                            const std::set<base::BackendId>& excluded,
                            base::MonoTime now);

  // Queries.
  // Returns every backend server that may serve `request` and is not ejected,
  // or all that may serve it if all are ejected; sorted by id.
  std::vector<base::BackendId> AllUsable(const Request& request) const;
  // Whether any backend server could serve `request`, now or after a wait.
  bool CanServe(const Request& request) const;
  // Whether `backend` is not leaving, is in an allowed tier and serves the
  // model and adapter of `request`.
  bool MayServe(const BackendState& backend, const Request& request) const;
  // Number of requests of this router that are running in the pool.
  int CountRunning() const;
  const std::map<base::BackendId, BackendState>& backends() const {
    return backends_;
  }

 private:
  inventory::Spill SpillOf(Tier tier) const;
  bool AllEjected(const Request& request) const;
  // Ejects those whose mean exceeds kSlowRatio times the median plus `margin`.
  void EjectSlowBackendsBy(LatencyAverage Health::*average,
                           LatencyAverage::Seconds margin,
                           base::MonoTime now);

  std::map<base::BackendId, BackendState> backends_;
  inventory::Spill cross_zone_ = inventory::Spill::kWhenLocalFull;
  inventory::Spill cross_region_ = inventory::Spill::kWhenLocalFull;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_POOL_H_
