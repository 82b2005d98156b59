#include "dandelionmill/gateway/relay_selector.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace {

namespace base = dandelionmill::base;
using dandelionmill::gateway::RelaySelector;
using dandelionmill::peer::Instance;
using dandelionmill::scheduling::AllowedZones;

const base::ZoneId kOwnZone("north");
const base::ZoneId kBackendZone("south");
const base::ServiceId kService("model");
const base::ServiceId kOtherService("other");

Instance InZone(const std::string& id, const std::string& zone) {
  return {base::InstanceId(id), {"127.0.0.1", 1}, base::ZoneId(zone)};
}

constexpr base::MonoTime kNow{std::chrono::hours(1)};

// Returns how often each instance is chosen in 300 choices.
std::map<std::string, int> CountChoices(
    RelaySelector& selector,
    base::MonoTime now,
    const base::ServiceId& service = kService) {
  std::map<std::string, int> counts;
  for (int i = 0; i < 300; ++i) {
    const auto chosen =
        selector.Choose(service, kBackendZone, AllowedZones(), now);
    ++counts[chosen ? chosen->id.value() : "none"];
  }
  return counts;
}

}  // namespace

// Guards against a single instance that gets the load of all that are
// partitioned, and against relaying through one that is partitioned as well.
TEST_CASE("Relayed connections are spread over the nearest able instances",
          "[gateway][partition]") {
  RelaySelector selector(kOwnZone, 1);
  CHECK_FALSE(selector.Choose(kService, kBackendZone, AllowedZones(), kNow));
  selector.SetInstances({InZone("own-1", "north"), InZone("own-2", "north"),
                         InZone("far", "east"), InZone("by-backend", "south")});
  std::map<std::string, int> counts = CountChoices(selector, kNow);
  CHECK(counts["own-1"] > 90);
  CHECK(counts["own-2"] > 90);
  CHECK(counts.size() == 2);

  selector.OnUnreachable(base::InstanceId("own-1"), kNow);
  CHECK(CountChoices(selector, kNow)["own-2"] == 300);
  selector.OnUnreachable(base::InstanceId("own-2"), kNow);
  CHECK(CountChoices(selector, kNow)["by-backend"] == 300);
  selector.OnUnreachable(base::InstanceId("by-backend"), kNow);
  CHECK(CountChoices(selector, kNow)["far"] == 300);
  selector.OnUnreachable(base::InstanceId("far"), kNow);
  CHECK(CountChoices(selector, kNow)["none"] == 300);

  const auto later = kNow + RelaySelector::kAvoidanceTime;
  CHECK(CountChoices(selector, later).size() == 2);
}

// Guards against refusals while a neighbor reaches the service: it had refused
// to relay to another service, which it has lost too.
TEST_CASE(
    "An instance that cannot relay to one service is avoided for that service "
    "alone",
    "[gateway][partition]") {
  RelaySelector selector(kOwnZone, 1);
  selector.SetInstances({InZone("own", "north"), InZone("far", "east")});
  const base::InstanceId own("own");

  SECTION("it refused to") {
    selector.OnRefused(own, kOtherService, kNow);
    CHECK(CountChoices(selector, kNow, kOtherService)["far"] == 300);
    CHECK(CountChoices(selector, kNow, kService)["own"] == 300);
    const auto soon = kNow + std::chrono::milliseconds(70);
    CHECK(selector.AvoidedFor(kOtherService, soon).refused == 1);
    CHECK(selector.AvoidedFor(kOtherService, soon).oldest ==
          std::chrono::milliseconds(70));
    CHECK(selector.AvoidedFor(kService, soon).refused == 0);

    const auto later = kNow + RelaySelector::kAvoidanceTime;
    CHECK(CountChoices(selector, later, kOtherService)["own"] == 300);
  }
  SECTION("it did not answer, which concerns all services") {
    selector.OnUnreachable(own, kNow);
    CHECK(CountChoices(selector, kNow, kOtherService)["far"] == 300);
    CHECK(CountChoices(selector, kNow, kService)["far"] == 300);
    CHECK(selector.AvoidedFor(kService, kNow).unreachable == 1);
  }
}

// Guards against a body that is sent to an instance outside the home regions of
// its request.
TEST_CASE("No instance outside the allowed zones is chosen to relay",
          "[gateway][partition]") {
  const dandelionmill::scheduling::ZoneRegions regions = {
      {base::ZoneId("north"), base::RegionId("abroad")},
      {base::ZoneId("east"), base::RegionId("home")}};
  const auto home =
      dandelionmill::scheduling::MakeHomeRegions({base::RegionId("home")});
  const AllowedZones allowed(
      dandelionmill::scheduling::CombineHomeRegions(home, nullptr), regions);
  RelaySelector selector(kOwnZone, 1);
  selector.SetInstances({InZone("near", "north"), InZone("unlisted", "south"),
                         InZone("unreported", "")});
  CHECK_FALSE(selector.Choose(kService, kBackendZone, allowed, kNow));
  selector.SetInstances({InZone("near", "north"), InZone("far", "east")});
  for (int i = 0; i < 20; ++i) {
    const auto chosen = selector.Choose(kService, kBackendZone, allowed, kNow);
    REQUIRE(chosen);
    CHECK(chosen->id == base::InstanceId("far"));
  }
}
