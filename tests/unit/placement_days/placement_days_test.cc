#include <catch2/catch.hpp>

#include "bench/placement/fleet_day.h"

using namespace bench::placement;  // NOLINT(google-build-using-namespace)
namespace base = dandelionmill::base;
namespace gateway = dandelionmill::gateway;

namespace {

DayResult Play(const std::string& pattern,
               const std::string& policy,
               double load = 1,
               std::chrono::seconds length = std::chrono::seconds(24)) {
  DayOptions options;
  options.deployment = base::ValueOf(FindDeployment("pridd-coch"));
  for (Traffic& traffic : options.deployment.traffic)
    traffic.per_second *= load;
  options.policy = base::ValueOf(gateway::ParsePlacementPolicy(policy));
  options.pattern = pattern;
  options.length = length;
  return PlayDay(options);
}

// What the product must reach at 2.5 times the usual traffic, whatever happens.
constexpr double kHeavy = 2.5;
constexpr double kWorth = 0.95;

}  // namespace

TEST_CASE("A day is the same each time it is played", "[placement]") {
  const DayResult once = Play("burst", "cost");
  const DayResult again = Play("burst", "cost");
  CHECK(once.requests == again.requests);
  CHECK(once.worth_share == again.worth_share);
}

TEST_CASE("Every pattern is served at 2.5 times the usual traffic",
          "[placement][burst][hot_key][retry_abuse][srv_slow][srv_grey]"
          "[srv_crash][scale_in][release][platform_down][node_kill]") {
  for (const std::string& pattern : PatternNames()) {
    const DayResult day = Play(pattern, "cost", kHeavy);
    INFO(pattern);
    CHECK(day.worth_share > kWorth);
  }
}

TEST_CASE("Placement by cost serves more than the baselines under load",
          "[placement][burst][scale_in][srv_crash][platform_down]") {
  for (const std::string pattern :
       {"burst", "scale_in", "srv_crash", "platform_down"}) {
    const double by_cost = Play(pattern, "cost", kHeavy).worth_share;
    for (const std::string policy :
         {"random", "two_choices", "least_in_flight"}) {
      INFO(pattern << " " << policy);
      CHECK(by_cost > Play(pattern, policy, kHeavy).worth_share);
    }
  }
}

TEST_CASE("Placement by cost reads shared prompts again more seldom",
          "[placement][quiet][hot_key]") {
  for (const std::string pattern : {"quiet", "hot_key"}) {
    const auto by_cost = Play(pattern, "cost").shared_tokens_read;
    CHECK(2 * by_cost < Play(pattern, "least_in_flight").shared_tokens_read);
  }
}

// Beyond what the engines can carry, each shared prompt that is read again
// takes time from all others.
TEST_CASE("Engines at their limit are not filled with prompts read again",
          "[placement][overload]") {
  const DayResult day = Play("quiet", "cost", 4, std::chrono::seconds(40));
  CHECK(day.worth_share > kWorth);
}
