#include <catch2/catch.hpp>

#include "bench/placement/fleet_day.h"
#include "bench/placement/report_variants.h"

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

DayResult RunSharedMachines(const std::string& reports,
                            double load,
                            double report_loss = 0) {
  DayOptions options;
  options.deployment = base::ValueOf(FindDeployment("shared-machines-25"));
  for (Traffic& traffic : options.deployment.traffic)
    traffic.per_second *= load;
  options.deployment.shared->report_loss = report_loss;
  options.policy = gateway::ByCost{base::ValueOf(FindReportVariant(reports))};
  options.pattern = kSharedMachinesWaves;
  // The wave is above the mean up to 8.5 s.
  options.length = std::chrono::seconds(10);
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

// Guards against choices that become worse by load reports: trusted as they
// stand, they move shared prompts from their homes to servers that other
// instances choose at the same time, and the repeated prefill takes the
// capacity that the wave needs.
TEST_CASE(
    "Shared machines, many instances, waves: load reports make more responses "
    "on time than none, and fewer prompts are read again than by trusting them",
    "[placement][shared_machines_waves]") {
  constexpr double kOverCapacity = 1.6;
  const DayResult ignored = RunSharedMachines("ignored", kOverCapacity);
  const DayResult full = RunSharedMachines("full", kOverCapacity);
  for (const double report_loss : {0.0, 0.5}) {
    INFO(report_loss);
    const DayResult product =
        RunSharedMachines("product", kOverCapacity, report_loss);
    CHECK(product.in_time > ignored.in_time);
    CHECK(product.worth_share > ignored.worth_share);
    CHECK(product.busiest_over_mean < ignored.busiest_over_mean);
    CHECK(product.in_time > full.in_time);
    CHECK(2 * product.shared_tokens_read < full.shared_tokens_read);
  }
}

// Guards against another choice at deployments whose servers report three
// figures.
TEST_CASE("The use of load reports changes nothing without a work time",
          "[placement][quiet][srv_slow]") {
  for (const std::string pattern : {"quiet", "srv_slow"}) {
    DayOptions options;
    options.deployment = base::ValueOf(FindDeployment("pridd-coch"));
    for (Traffic& traffic : options.deployment.traffic)
      traffic.per_second *= kHeavyLoad;
    options.pattern = pattern;
    options.length = std::chrono::seconds(16);
    const auto play = [&options](const std::string& reports) {
      options.policy =
          gateway::ByCost{base::ValueOf(FindReportVariant(reports))};
      return PlayDay(options);
    };
    const DayResult product = play("product");
    const DayResult ignored = play("ignored");
    INFO(pattern);
    CHECK(product.in_time == ignored.in_time);
    CHECK(product.worth_share == ignored.worth_share);
    CHECK(product.shared_tokens_read == ignored.shared_tokens_read);
    CHECK(product.crossings == ignored.crossings);
  }
}
