#ifndef SRC_DANDELIONMILL_ROUTER_CONTROL_DIRECTORY_H_
#define SRC_DANDELIONMILL_ROUTER_CONTROL_DIRECTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/wire/bus.h"
#include "dandelionmill/wire/membership.pb.h"

namespace dandelionmill::router {

// The controls of the availability zone known to this router, with their routes
// and liveness. Does no I/O and is not thread-safe.
class ControlDirectory {
 public:
  // A control counts as alive for this long after its last message.
  static constexpr std::chrono::milliseconds kLivenessTimeout{1600};
  // A control is removed this long after its last message, and an address this
  // long after the last zone view that listed it.
  static constexpr std::chrono::milliseconds kRemovalTimeout{30000};

  // `configured`, with the local control first, are never removed.
  explicit ControlDirectory(std::vector<net::Address> configured);

  // Commands.
  // Processes the zone view that `holder` sent from `route`.
  void OnZoneView(const wire::Route& route,
                  const base::HolderId& holder,
                  const wire::ZoneView& view,
                  base::MonoTime now);
  // Records that any message arrived from `holder`.
  void OnMessage(const base::HolderId& holder, base::MonoTime now);
  // Removes controls and addresses after kRemovalTimeout.
  void RemoveStale(base::MonoTime now);

  // Queries.
  // Every address to which a hello is to be sent.
  std::set<net::Address> Addresses() const;
  // The route to a holder, or nullopt if it is not alive. A control may hold
  // leases under a series of ids, each formed of its own id, a dot and a
  // number.
  std::optional<wire::Route> RouteOf(const base::HolderId& holder,
                                     base::MonoTime now) const;
  // Live controls of the zone that may grant tokens of `budget_key`, in order
  // of preference: the owner of the budget first.
  std::vector<base::HolderId> RankedControls(const std::string& budget_key,
                                             base::MonoTime now) const;
  // Number of instances in the zone that have a live control, at least 1.
  int InstancesInZone(base::MonoTime now) const;
  // Backend servers that any live control reports as leaving.
  std::set<base::BackendId> LeavingBackends(base::MonoTime now) const;
  // Whether `holder` sent a message within kLivenessTimeout.
  bool IsAlive(const base::HolderId& holder, base::MonoTime now) const;
  std::vector<base::HolderId> LiveControls(base::MonoTime now) const;

 private:
  struct Control {
    wire::Route route;
    base::InstanceId instance;
    bool may_grant = false;
    bool leaving = false;
    std::set<base::BackendId> leaving_backends;
    base::MonoTime last_message_at;
  };

  const Control* FindControl(const base::HolderId& holder) const;

  const std::vector<net::Address> configured_;
  std::map<base::HolderId, Control> controls_;
  // Addresses listed in zone views, with the time of the last listing.
  std::map<net::Address, base::MonoTime> advertised_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_CONTROL_DIRECTORY_H_
