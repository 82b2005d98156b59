#include "dandelionmill/control/internal/config_spread.h"

#include <algorithm>
#include <map>

#include "dandelionmill/membership/ownership.h"

namespace dandelionmill::control::internal {
namespace {

constexpr char kRankingKey[] = "config";

using InstancesByZone = std::map<base::ZoneId, std::vector<base::InstanceId>>;

InstancesByZone PollersByZone(const membership::View& view) {
  InstancesByZone by_zone;
  for (const membership::Member& member : view.members) {
    if (member.reachable && !member.leaving)
      by_zone[member.zone].push_back(member.instance);
  }
  for (auto& [zone, instances] : by_zone) {
    instances = membership::RankOwners(kRankingKey, instances);
    if (instances.size() > kPollersPerZone)
      instances.resize(kPollersPerZone);
  }
  return by_zone;
}

bool IsIn(const std::vector<base::InstanceId>& instances,
          const base::InstanceId& instance) {
  return std::find(instances.begin(), instances.end(), instance) !=
         instances.end();
}

const membership::Member* Find(const membership::View& view,
                               const base::InstanceId& instance) {
  for (const membership::Member& member : view.members) {
    if (member.instance == instance)
      return &member;
  }
  return nullptr;
}

}  // namespace

bool IsZonePoller(const membership::View& view, const base::InstanceId& self) {
  const membership::Member* own = Find(view, self);
  return own == nullptr || IsIn(PollersByZone(view)[own->zone], self);
}

std::vector<net::Address> PeersToNotify(const membership::View& view,
                                        const base::InstanceId& self) {
  std::vector<net::Address> addresses;
  const membership::Member* own = Find(view, self);
  InstancesByZone pollers = PollersByZone(view);
  if (own == nullptr || !IsIn(pollers[own->zone], self))
    return addresses;
  for (const membership::Member& member : view.members) {
    if (member.instance == self || !member.reachable)
      continue;
    if (member.zone == own->zone || IsIn(pollers[member.zone], member.instance))
      addresses.push_back(member.address);
  }
  return addresses;
}

}  // namespace dandelionmill::control::internal
