#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/property/routing/fleet_model.h"

using namespace routing_test;  // NOLINT(google-build-using-namespace)

namespace {

inventory::Core CoreWithPool(int backends) {
  std::vector<inventory::Backend> pool;
  for (int i = 0; i < backends; ++i)
    pool.push_back(BackendIn("b" + std::to_string(i), "n1", 8));
  inventory::Core core = CoreWith(pool);
  core.services.front().queue_limit = 500;
  return core;
}

}  // namespace

TEST_CASE("With one router, a body crashes at most two backend servers",
          "[routing]") {
  const bool holds = rc::check([] {
    FleetModel::Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.concurrent_copies = *rc::gen::inRange(1, 6);
    FleetModel fleet(CoreWithPool(*rc::gen::inRange(1, 8)), options);
    fleet.Run(seconds(20), milliseconds(100));
    RC_ASSERT(fleet.crashes() <= routing::kMaxCrashes);
    RC_ASSERT(fleet.crashes() > 0);
    RC_ASSERT(fleet.crashing_refused() > 0);
    RC_ASSERT(fleet.harmless_quarantined() == 0);
  });
  CHECK(holds);
}

TEST_CASE(
    "With several routers, a resent body crashes at most two backend servers",
    "[routing]") {
  const bool holds = rc::check([] {
    FleetModel::Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.routers = *rc::gen::inRange(2, 9);
    FleetModel fleet(CoreWithPool(*rc::gen::inRange(4, 11)), options);
    fleet.Run(seconds(20), milliseconds(50));
    RC_ASSERT(fleet.crashes() <= routing::kMaxCrashes);
    RC_ASSERT(fleet.crashing_refused() > 0);
    RC_ASSERT(fleet.harmless_quarantined() == 0);
    RC_ASSERT(fleet.harmless_refused() == 0);
  });
  CHECK(holds);
}

TEST_CASE(
    "Crashes beyond two are limited by the routers unaware of the first crash",
    "[routing]") {
  const bool holds = rc::check([] {
    FleetModel::Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.routers = *rc::gen::inRange(2, 9);
    options.concurrent_copies = *rc::gen::inRange(1, 6);
    FleetModel fleet(CoreWithPool(*rc::gen::inRange(4, 11)), options);
    fleet.Run(seconds(20), milliseconds(50));
    const int limit = std::max(routing::kMaxCrashes, fleet.unaware_routers());
    RC_ASSERT(fleet.crashes() <= limit);
    RC_ASSERT(fleet.harmless_quarantined() == 0);
  });
  CHECK(holds);
}
