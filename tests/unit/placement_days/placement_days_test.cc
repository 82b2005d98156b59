#include <catch2/catch.hpp>

#include "bench/placement/fleet_day.h"

using namespace bench::placement;  // NOLINT(google-build-using-namespace)
namespace base = dandelionmill::base;
namespace gateway = dandelionmill::gateway;

namespace {

DayResult RunDay(const std::string& pattern,
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

// Minimum share of the total worth at 2.5 times the usual traffic, in every
// pattern.
constexpr double kHeavyLoad = 2.5;
constexpr double kMinWorthShare = 0.95;

}  // namespace

TEST_CASE("The simulation of a day is deterministic", "[placement]") {
  const DayResult once = RunDay("burst", "cost");
  const DayResult again = RunDay("burst", "cost");
  CHECK(once.requests == again.requests);
  CHECK(once.worth_share == again.worth_share);
}

TEST_CASE(
    "Every traffic pattern reaches the minimum worth at 2.5 times the usual "
    "traffic",
    "[placement][burst][hot_key][retry_abuse][srv_slow][srv_grey]"
    "[srv_crash][scale_in][release][platform_down][node_kill]") {
  for (const std::string& pattern : PatternNames()) {
    const DayResult day = RunDay(pattern, "cost", kHeavyLoad);
    INFO(pattern);
    CHECK(day.worth_share > kMinWorthShare);
  }
}

TEST_CASE(
    "Placement by cost reaches a higher worth than the baselines under load",
    "[placement][burst][scale_in][srv_crash][platform_down]") {
  for (const std::string pattern :
       {"burst", "scale_in", "srv_crash", "platform_down"}) {
    const double by_cost = RunDay(pattern, "cost", kHeavyLoad).worth_share;
    for (const std::string policy :
         {"random", "two_choices", "least_in_flight"}) {
      INFO(pattern << " " << policy);
      CHECK(by_cost > RunDay(pattern, policy, kHeavyLoad).worth_share);
    }
  }
}

TEST_CASE("Placement by cost halves the prefill of shared prompts",
          "[placement][quiet][hot_key]") {
  for (const std::string pattern : {"quiet", "hot_key"}) {
    const auto by_cost = RunDay(pattern, "cost").shared_tokens_read;
    CHECK(2 * by_cost < RunDay(pattern, "least_in_flight").shared_tokens_read);
  }
}

// Guards against repeated prefill of shared prompts near engine capacity, which
// takes time from all other requests.
TEST_CASE("Engines at their capacity do not spend it on repeated prefill",
          "[placement][overload]") {
  const DayResult day = RunDay("quiet", "cost", 4, std::chrono::seconds(40));
  CHECK(day.worth_share > kMinWorthShare);
}
