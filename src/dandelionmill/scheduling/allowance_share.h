#ifndef SRC_DANDELIONMILL_SCHEDULING_ALLOWANCE_SHARE_H_
#define SRC_DANDELIONMILL_SCHEDULING_ALLOWANCE_SHARE_H_

#include <cstddef>
#include <vector>

#include "dandelionmill/base/ids.h"

namespace dandelionmill::scheduling {

// Returns the position, from 0, of `self` among itself and `others` in the
// rendezvous order of a backend server. The first instances in that order share
// what the server grants to the whole fleet.
std::size_t RendezvousRank(const base::BackendId& backend,
                           const base::InstanceId& self,
                           const std::vector<base::InstanceId>& others);

// How a rate is divided among the instances of a fleet.
struct Division {
  // The first instances in the rendezvous order have equal shares.
  std::size_t instances = 1;
  // Share of each of them; 0 if nothing may be sent.
  double requests_per_s = 0;
};

// Divides `requests_per_s` so that all shares together are at most
// `max_in_second` requests in any one second, if each instance sends its own
// at equal intervals. Divides it among as many instances as use at least 0.6 of
// what the best division would use, none of which has less than one request per
// second unless it is the only one.
Division DivideRate(double requests_per_s,
                    double max_in_second,
                    std::size_t fleet_size);

}  // namespace dandelionmill::scheduling

#endif  // SRC_DANDELIONMILL_SCHEDULING_ALLOWANCE_SHARE_H_
