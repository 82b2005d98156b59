#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_CONFIG_SPREAD_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_CONFIG_SPREAD_H_

#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/membership/view.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::control::internal {

// Number of zone pollers in each availability zone: controls that poll the
// table frequently and announce new versions. The second one covers for a
// failure of the first that has not been detected yet.
inline constexpr std::size_t kPollersPerZone = 2;

// Returns whether `self` is a zone poller, chosen among the reachable controls
// that are not leaving. A control that is missing from `view` polls as well.
bool IsZonePoller(const membership::View& view, const base::InstanceId& self);

// Returns the controls to notify of a new configuration version: for a zone
// poller all other controls of its zone and the pollers of the other zones, for
// any other control none.
std::vector<net::Address> PeersToNotify(const membership::View& view,
                                        const base::InstanceId& self);

}  // namespace dandelionmill::control::internal

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_CONFIG_SPREAD_H_
