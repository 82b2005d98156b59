#include "dandelionmill/scheduling/allowance_share.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::scheduling {
namespace {

// More instances than any fleet has; a rate from outside may be any number.
constexpr std::size_t kMaxSharingInstances = 1000;

}  // namespace

std::size_t RendezvousRank(const base::BackendId& backend,
                           const base::InstanceId& self,
                           const std::vector<base::InstanceId>& others) {
  const auto hash_of = [&backend](const base::InstanceId& instance) {
    return base::StableHash(backend.value() + "/" + instance.value());
  };
  const std::uint64_t own = hash_of(self);
  return static_cast<std::size_t>(std::count_if(
      others.begin(), others.end(),
      [&](const base::InstanceId& other) { return hash_of(other) > own; }));
}

Division DivideRate(double requests_per_s,
                    double max_in_second,
                    std::size_t fleet_size) {
  const double whole = std::floor(max_in_second);
  if (requests_per_s <= 0 || whole < 1)
    return {};
  const double max_instances =
      std::max(1.0, std::min({std::floor(requests_per_s), whole,
                              static_cast<double>(kMaxSharingInstances),
                              static_cast<double>(fleet_size)}));
  Division best;
  double best_total = 0;
  for (std::size_t instances = 1;
       static_cast<double>(instances) <= max_instances; ++instances) {
    const auto count = static_cast<double>(instances);
    // A share of r requests per second at equal intervals is at most r, rounded
    // up, in any one second.
    const double share =
        std::min(requests_per_s / count, std::floor(whole / count));
    // Not above the best for differences that only come from rounding.
    if (share * count >= best_total * (1 - 1e-9)) {
      best = {instances, share};
      best_total = share * count;
    }
  }
  return best;
}

}  // namespace dandelionmill::scheduling
