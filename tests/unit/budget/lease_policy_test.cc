#include "dandelionmill/budget/lease_policy.h"

#include <catch2/catch.hpp>
#include <random>

#include "dandelionmill/budget/demand.h"

using dandelionmill::base::MonoTime;
using dandelionmill::base::RouterId;
using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace dandelionmill::budget;  // NOLINT(google-build-using-namespace)

namespace {

SizingInput SteadyDemand() {
  SizingInput input;
  input.free = 100000;
  input.granted = 200000;
  input.rate = 10;
  input.largest = 50;
  return input;
}

}  // namespace

TEST_CASE("A lease sized by demand covers the reserve time", "[budget]") {
  const LeasePolicy policy = DemandPolicy{seconds(120), 3};
  SizingInput input = SteadyDemand();
  SECTION("it draws the mean demand and a margin for random variation") {
    // Mean of 1200, 3 standard deviations of sqrt(1200 * 50), 4 requests of 50.
    CHECK(PlanDraw(policy, input) == 2135);
    input.available = 1000;
    CHECK(PlanDraw(policy, input) == 1135);
  }
  SECTION("it draws no more than its share of the free tokens") {
    input.free = 400;
    CHECK(PlanDraw(policy, input) == 100);
  }
  SECTION("tokens for waiting requests are drawn beyond the share") {
    input.free = 400;
    input.waiting = 300;
    input.first_waiting = 300;
    CHECK(PlanDraw(policy, input) == 300);
  }
  SECTION("it draws nothing when the first waiting request cannot be served") {
    input.free = 400;
    input.available = 90;
    input.waiting = 500;
    input.first_waiting = 500;
    CHECK(PlanDraw(policy, input) == 0);
    CHECK(PlanDraw(DemandPolicy{seconds(1), 3, true}, input) == -90);
  }
  SECTION("it returns tokens that exceed the demand") {
    input.available = 5000;
    CHECK(NeedsWrite(policy, input));
    CHECK(PlanDraw(policy, input) == -2865);
    input.idle = seconds(121);
    CHECK(PlanDraw(policy, input) == -5000);
  }
  SECTION("a lease close to its target size causes no write") {
    input.available = 1700;
    CHECK_FALSE(NeedsWrite(policy, input));
    input.available = 1600;
    CHECK(NeedsWrite(policy, input));
  }
}

TEST_CASE("A lease outlasts the reserve time in 99 of 100 outages",
          "[budget]") {
  constexpr int kOutages = 2000;
  const seconds reserve(120);
  const LeasePolicy policy = DemandPolicy{reserve, 3};
  SizingInput input = SteadyDemand();
  const auto lease = static_cast<double>(PlanDraw(policy, input));
  // Requests of 10 to 50 tokens arrive at random times.
  std::mt19937 random(20261204);
  const double mean_size = 30;
  std::poisson_distribution<int> arrivals(input.rate / mean_size *
                                          static_cast<double>(reserve.count()));
  std::uniform_int_distribution<int> size(10, 50);
  int exhausted = 0;
  for (int outage = 0; outage < kOutages; ++outage) {
    double used = 0;
    for (int remaining = arrivals(random); remaining > 0; --remaining)
      used += size(random);
    exhausted += used > lease ? 1 : 0;
  }
  CHECK(exhausted <= kOutages / 100);
}

TEST_CASE("A fixed split draws its share only once", "[budget]") {
  const LeasePolicy policy = FixedSplitPolicy{4};
  SizingInput input = SteadyDemand();
  CHECK(PlanDraw(policy, input) == 50000);
  input.drawn = 50000;
  input.waiting = 100;
  CHECK(PlanDraw(policy, input) == 0);
}

TEST_CASE("The per-request policy draws the tokens of one request",
          "[budget]") {
  const LeasePolicy policy = PerRequestPolicy{};
  SizingInput input = SteadyDemand();
  input.first_waiting = 70;
  input.waiting = 200;
  CHECK(PlanDraw(policy, input) == 70);
  input.first_waiting = 0;
  input.waiting = 0;
  input.available = 30;
  CHECK(PlanDraw(policy, input) == -30);
}

TEST_CASE("Slices exceed equal shares to allow uneven demand among routers",
          "[budget]") {
  const std::set<RouterId> routers{RouterId("a"), RouterId("b"), RouterId("c")};
  const auto slices = SplitAmongRouters(routers, 3000, 10);
  REQUIRE(slices.size() == 3);
  CHECK(slices.at(RouterId("a")) == 1500);
  CHECK(SplitAmongRouters(routers, 30, 100).at(RouterId("b")) == 30);
}

TEST_CASE("Demand is estimated in tokens per second", "[budget]") {
  DemandMeter meter;
  const MonoTime start{};
  CHECK(meter.PerSecond(start) == 0);
  for (int i = 0; i < 1200; ++i)
    meter.Add(10, start + milliseconds(100) * i);
  const MonoTime end = start + seconds(120);
  CHECK(meter.PerSecond(end) == Approx(100).epsilon(0.05));
  CHECK(meter.PerSecond(end + seconds(300)) < 1);
  CHECK(meter.IdleFor(end + seconds(1)) == milliseconds(1100));
}
