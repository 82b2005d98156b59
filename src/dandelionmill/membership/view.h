#ifndef SRC_DANDELIONMILL_MEMBERSHIP_VIEW_H_
#define SRC_DANDELIONMILL_MEMBERSHIP_VIEW_H_

#include <set>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::membership {

// The last known state of a control process of the fleet.
struct Member {
  base::HolderId holder;
  base::InstanceId instance;
  base::ZoneId zone;
  base::RegionId region;
  net::Address address;
  bool leaving = false;
  // Whether it answered recent heartbeats.
  bool reachable = false;
  base::ConfigVersion config_version = 0;
};

// The last known state of the fleet. It may be outdated or wrong; correctness
// must not depend on it.
struct View {
  // All known controls, including this one.
  std::vector<Member> members;
  // Instances of every role on the platform's list, as last read.
  std::set<base::InstanceId> listed;
  // Whether the list was read recently. If not, an instance missing from it may
  // still be running.
  bool list_is_fresh = false;
  std::set<base::BackendId> leaving_backends;
};

}  // namespace dandelionmill::membership

#endif  // SRC_DANDELIONMILL_MEMBERSHIP_VIEW_H_
