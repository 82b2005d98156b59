#ifndef SRC_DANDELIONMILL_SCHEDULING_HOME_REGIONS_H_
#define SRC_DANDELIONMILL_SCHEDULING_HOME_REGIONS_H_

#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "dandelionmill/base/ids.h"

namespace dandelionmill::scheduling {

// Region of each availability zone, by the platform's settings. A zone that is
// not listed belongs to no region.
using ZoneRegions = std::map<base::ZoneId, base::RegionId>;

// Regions in which requests of a route or a client account may be served,
// sorted and without duplicates; nullptr if it has no home regions. Shared,
// since many accounts have the same ones.
using HomeRegions = std::shared_ptr<const std::vector<base::RegionId>>;

// Returns nullptr for an empty list.
HomeRegions MakeHomeRegions(std::vector<base::RegionId> regions);

// Where one request may be served.
struct AnyRegion {};
struct OnlyRegions {
  // Not nullptr.
  HomeRegions regions;
};
// The home regions of the route and the account have no region in common.
struct NoRegion {};
using RegionConstraint = std::variant<AnyRegion, OnlyRegions, NoRegion>;

// Returns the constraint for a request of a route and an account with these
// home regions: those of both apply.
RegionConstraint CombineHomeRegions(const HomeRegions& route,
                                    const HomeRegions& account);

// The availability zones whose backend servers and instances may receive a
// request. Pure.
class AllowedZones {
 public:
  // Allows all zones.
  AllowedZones() = default;
  // `regions` must outlive this.
  AllowedZones(RegionConstraint constraint, const ZoneRegions& regions)
      : constraint_(std::move(constraint)), regions_(&regions) {}

  // Queries.
  bool ContainsAll() const {
    return std::holds_alternative<AnyRegion>(constraint_);
  }
  bool IsEmpty() const { return std::holds_alternative<NoRegion>(constraint_); }
  bool Contains(const base::ZoneId& zone) const;

 private:
  RegionConstraint constraint_;
  // Not nullptr if the constraint is OnlyRegions.
  const ZoneRegions* regions_ = nullptr;
};

// Returns the first of `home` to which no zone of `zones` belongs, or nullptr.
const base::RegionId* FindUnknownRegion(const HomeRegions& home,
                                        const ZoneRegions& zones);

}  // namespace dandelionmill::scheduling

#endif  // SRC_DANDELIONMILL_SCHEDULING_HOME_REGIONS_H_
