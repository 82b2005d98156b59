#include "dandelionmill/scheduling/home_regions.h"

#include <catch2/catch.hpp>
#include <string>

namespace base = dandelionmill::base;
using dandelionmill::scheduling::AllowedZones;
using dandelionmill::scheduling::CombineHomeRegions;
using dandelionmill::scheduling::FindUnknownRegion;
using dandelionmill::scheduling::HomeRegions;
using dandelionmill::scheduling::MakeHomeRegions;
using dandelionmill::scheduling::ZoneRegions;

namespace {

const ZoneRegions kZones = {
    {base::ZoneId("e1"), base::RegionId("east")},
    {base::ZoneId("e2"), base::RegionId("east")},
    {base::ZoneId("w1"), base::RegionId("west")},
    {base::ZoneId("n1"), base::RegionId("north")},
};

HomeRegions Home(const std::vector<std::string>& names) {
  std::vector<base::RegionId> regions;
  for (const std::string& name : names)
    regions.emplace_back(name);
  return MakeHomeRegions(std::move(regions));
}

// Returns the zones of kZones, and one that the settings do not list, that are
// allowed.
std::string Allowed(const HomeRegions& route, const HomeRegions& account) {
  const AllowedZones allowed(CombineHomeRegions(route, account), kZones);
  std::string names;
  for (const char* zone : {"e1", "e2", "w1", "n1", "unlisted", ""})
    names +=
        allowed.Contains(base::ZoneId(zone)) ? std::string(zone) + " " : "";
  return names;
}

}  // namespace

// Guards against requests that leave their home regions since only the route or
// only the account was considered.
TEST_CASE("The home regions of the route and of the account both apply",
          "[scheduling]") {
  CHECK(Allowed(Home({"east"}), nullptr) == "e1 e2 ");
  CHECK(Allowed(nullptr, Home({"west", "north"})) == "w1 n1 ");
  CHECK(Allowed(Home({"west", "east"}), Home({"north", "east"})) == "e1 e2 ");
  CHECK(Allowed(Home({"west"}), Home({"west", "west"})) == "w1 ");
}

// Guards against home regions without a common region that are taken for none.
TEST_CASE("No zone is allowed where the home regions have none in common",
          "[scheduling]") {
  CHECK(Allowed(Home({"west"}), Home({"east", "north"})).empty());
  const AllowedZones allowed(CombineHomeRegions(Home({"west"}), Home({"east"})),
                             kZones);
  CHECK(allowed.IsEmpty());
  CHECK_FALSE(allowed.ContainsAll());
}

// Guards against restrictions for deployments without home regions, also in
// zones that the settings do not list.
TEST_CASE("All zones are allowed without home regions", "[scheduling]") {
  CHECK(Home({}) == nullptr);
  CHECK(AllowedZones(CombineHomeRegions(nullptr, Home({})), kZones)
            .ContainsAll());
  CHECK(AllowedZones().Contains(base::ZoneId("unlisted")));
}

// Guards against a misspelt region that makes all requests unservable.
TEST_CASE("A home region without a zone in the settings is found",
          "[scheduling]") {
  CHECK(FindUnknownRegion(nullptr, kZones) == nullptr);
  CHECK(FindUnknownRegion(Home({"east", "west"}), kZones) == nullptr);
  const HomeRegions home = Home({"east", "wset"});
  REQUIRE(FindUnknownRegion(home, kZones) != nullptr);
  CHECK(*FindUnknownRegion(home, kZones) == base::RegionId("wset"));
}
