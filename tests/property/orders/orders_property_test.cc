#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/property/orders/fleet_of_holders.h"

using namespace orders_test;  // NOLINT(google-build-using-namespace)

TEST_CASE("All engines change version, at most kMaxLoads at a time",
          "[orders]") {
  const bool holds = rc::check([] {
    FleetOfHolders::Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.pauses = false;
    options.engines = *rc::gen::inRange(2, 8);
    FleetOfHolders fleet(options);
    fleet.Run(seconds(300), "2");
    RC_ASSERT(fleet.AllLoaded("2"));
    RC_ASSERT(fleet.most_holders() == 1);
    RC_ASSERT(fleet.most_loading() <= FleetOfHolders::kMaxLoads);
    RC_ASSERT(fleet.least_serving() >= 1);
  });
  CHECK(holds);
}

TEST_CASE("All engines reach the desired version when controls pause",
          "[orders]") {
  const bool holds = rc::check([] {
    FleetOfHolders::Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.controls = *rc::gen::inRange(2, 5);
    FleetOfHolders fleet(options);
    fleet.Run(seconds(400), "2");
    RC_ASSERT(fleet.most_holders() <= 1);
    RC_ASSERT(!fleet.fence_not_increased());
    RC_ASSERT(fleet.orders() > 0);
    RC_ASSERT(fleet.AllLoaded("2"));
  });
  CHECK(holds);
}

TEST_CASE(
    "Orders of a holder that lost the table arrive before its successor's",
    "[orders]") {
  const bool holds = rc::check([] {
    FleetOfHolders::Options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.pauses = false;
    options.store_cuts = true;
    options.order_delay = seconds(5);
    options.repeat = milliseconds(500);
    FleetOfHolders fleet(options);
    fleet.Run(seconds(400), "2");
    RC_ASSERT(fleet.late_orders() == 0);
    RC_ASSERT(!fleet.fence_not_increased());
    RC_ASSERT(fleet.AllLoaded("2"));
  });
  CHECK(holds);
}
