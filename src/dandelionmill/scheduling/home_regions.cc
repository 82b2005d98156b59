#include "dandelionmill/scheduling/home_regions.h"

#include <algorithm>
#include <iterator>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::scheduling {

HomeRegions MakeHomeRegions(std::vector<base::RegionId> regions) {
  if (regions.empty())
    return nullptr;
  std::sort(regions.begin(), regions.end());
  regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
  return std::make_shared<const std::vector<base::RegionId>>(
      std::move(regions));
}

RegionConstraint CombineHomeRegions(const HomeRegions& route,
                                    const HomeRegions& account) {
  if (!route && !account)
    return AnyRegion{};
  if (!route || !account || route == account)
    return OnlyRegions{route ? route : account};
  std::vector<base::RegionId> common;
  std::set_intersection(route->begin(), route->end(), account->begin(),
                        account->end(), std::back_inserter(common));
  if (common.empty())
    return NoRegion{};
  return OnlyRegions{MakeHomeRegions(std::move(common))};
}

bool AllowedZones::Contains(const base::ZoneId& zone) const {
  return std::visit(base::Overloaded{[](const AnyRegion&) { return true; },
                                     [&](const OnlyRegions& only) {
                                       const auto region = regions_->find(zone);
                                       return region != regions_->end() &&
                                              std::binary_search(
                                                  only.regions->begin(),
                                                  only.regions->end(),
                                                  region->second);
                                     },
                                     [](const NoRegion&) { return false; }},
                    constraint_);
}

const base::RegionId* FindUnknownRegion(const HomeRegions& home,
                                        const ZoneRegions& zones) {
  if (!home)
    return nullptr;
  for (const base::RegionId& region : *home) {
    const bool is_known =
        std::any_of(zones.begin(), zones.end(),
                    [&](const auto& zone) { return zone.second == region; });
    if (!is_known)
      return &region;
  }
  return nullptr;
}

}  // namespace dandelionmill::scheduling
