#ifndef SRC_DANDELIONMILL_MEMBERSHIP_OWNERSHIP_H_
#define SRC_DANDELIONMILL_MEMBERSHIP_OWNERSHIP_H_

#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"

namespace dandelionmill::membership {

// Orders `instances` by preference for `key` with rendezvous hashing (Thaler
// and Ravishankar, 1998): when an instance is added or removed, only the keys
// that it owns move. The first is the owner; the others are tried in turn when
// it does not respond. Routers and controls compute the same order from the
// same set.
std::vector<base::InstanceId> RankOwners(
    const std::string& key,
    const std::vector<base::InstanceId>& instances);

}  // namespace dandelionmill::membership

#endif  // SRC_DANDELIONMILL_MEMBERSHIP_OWNERSHIP_H_
