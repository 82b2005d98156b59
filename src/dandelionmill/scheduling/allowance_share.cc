#include "dandelionmill/scheduling/allowance_share.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::scheduling {
namespace {

// More instances than any fleet has; a rate from outside may be any number.
constexpr std::size_t kMaxSharingInstances = 1000;

// Part of the best possible use of a rate that is enough if it is divided among
// more instances. With one large share, each list of instances that another
// list replaces may add a whole rate.
constexpr double kMinUsedPart = 0.6;

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
  // A share of r requests per second at equal intervals is at most r, rounded
  // up, in any one second.
  const auto share_of = [&](double count) {
    return std::min(requests_per_s / count, std::floor(whole / count));
  };
  double best_total = 0;
  for (double count = 1; count <= max_instances; ++count)
    best_total = std::max(best_total, count * share_of(count));
  Division best;
  for (double count = 1; count <= max_instances; ++count) {
    if (count * share_of(count) >= kMinUsedPart * best_total)
      best = {static_cast<std::size_t>(count), share_of(count)};
  }
  return best;
}

}  // namespace dandelionmill::scheduling
