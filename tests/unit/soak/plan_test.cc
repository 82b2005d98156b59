#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "tests/soak/faults.h"

using namespace soak;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_CASE("The same seed yields the same faults in the same order", "[soak]") {
  const auto once = PlanFaults(7, milliseconds(20000), 3);
  const auto again = PlanFaults(7, milliseconds(20000), 3);
  REQUIRE(once.size() == again.size());
  REQUIRE_FALSE(once.empty());
  for (std::size_t i = 0; i < once.size(); ++i) {
    CHECK(once[i].start == again[i].start);
    CHECK(once[i].fault.index() == again[i].fault.index());
  }
}

TEST_CASE("Fifty seeds cover every kind of fault", "[soak]") {
  std::set<std::size_t> kinds;
  for (unsigned seed = 1; seed <= 50; ++seed) {
    for (const PlannedFault& planned : PlanFaults(seed, milliseconds(12000), 3))
      kinds.insert(planned.fault.index());
  }
  CHECK(kinds.size() == std::variant_size_v<Fault>);
}

TEST_CASE("Faults are ordered by their start", "[soak]") {
  const auto faults =
      PlanFaults(GENERATE(range(1u, 20u)), milliseconds(12000), 3);
  CHECK(std::is_sorted(faults.begin(), faults.end(),
                       [](const PlannedFault& a, const PlannedFault& b) {
                         return a.start < b.start;
                       }));
}

TEST_CASE("A third of the seeds loses the store during a series of changes",
          "[soak]") {
  constexpr unsigned kSeeds = 60;
  unsigned seeds = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const auto faults = PlanFaults(seed, milliseconds(12000), 3);
    const auto is_series = [](const PlannedFault& planned) {
      return std::holds_alternative<ChangeConfigurationOften>(planned.fault);
    };
    const auto is_loss = [](const PlannedFault& planned) {
      return std::holds_alternative<StoreDown>(planned.fault) ||
             std::holds_alternative<DegradeStoreLink>(planned.fault) ||
             std::holds_alternative<KillGateway>(planned.fault);
    };
    const auto overlaps = [](const PlannedFault& a, const PlannedFault& b) {
      return a.start < b.start + b.duration && b.start < a.start + a.duration;
    };
    const bool meets = std::any_of(
        faults.begin(), faults.end(), [&](const PlannedFault& series) {
          return is_series(series) &&
                 std::any_of(faults.begin(), faults.end(),
                             [&](const PlannedFault& loss) {
                               return is_loss(loss) && overlaps(series, loss);
                             });
        });
    seeds += meets ? 1 : 0;
  }
  CHECK(seeds >= kSeeds / 3);
}

TEST_CASE("Links to the store differ in bandwidth within a seed", "[soak]") {
  std::set<std::size_t> rates;
  bool differs_within_seed = false;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    const std::vector<std::size_t> links = PlanStoreLinks(seed, 3);
    REQUIRE(links.size() == 3);
    CHECK(links == PlanStoreLinks(seed, 3));
    const std::set<std::size_t> distinct(links.begin(), links.end());
    differs_within_seed |= distinct.size() == 2;
    rates.insert(distinct.begin(), distinct.end());
  }
  CHECK(rates.size() == 2);
  CHECK(differs_within_seed);
}

TEST_CASE(
    "Half of the seeds let servers come back in series, some while "
    "gateways are turned away or frozen",
    "[soak]") {
  constexpr unsigned kSeeds = 60;
  unsigned in_series = 0;
  unsigned turned_away = 0;
  unsigned frozen = 0;
  unsigned drained = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    unsigned servers = 0;
    const auto faults = PlanFaults(seed, milliseconds(12000), 3);
    for (const PlannedFault& planned : faults) {
      const auto* fault = std::get_if<ReturnBackend>(&planned.fault);
      if (fault == nullptr)
        continue;
      ++servers;
      CHECK(fault->entry_delay < milliseconds(1200));
      drained += fault->is_drained ? 1 : 0;
      for (const PlannedFault& other : faults) {
        // Begins before the server goes, and lasts at least until it is back.
        const bool is_during =
            other.start <= planned.start &&
            other.start + other.duration >= planned.start + planned.duration;
        turned_away +=
            is_during && std::holds_alternative<TurnGatewayAway>(other.fault);
        frozen +=
            is_during && std::holds_alternative<FreezeGateway>(other.fault);
      }
    }
    in_series += servers >= 2 ? 1 : 0;
  }
  CHECK(in_series >= kSeeds / 2);
  CHECK(turned_away >= kSeeds / 2);
  CHECK(frozen >= kSeeds / 2);
  CHECK(drained >= kSeeds / 4);
}

// Guards against streams that go on at a new software version at a gateway that
// doesn't know of its servers.
TEST_CASE(
    "A quarter of the seeds releases a software version while a gateway is "
    "without the store, and has callers that take up streams",
    "[soak]") {
  constexpr unsigned kSeeds = 60;
  unsigned turned_away = 0;
  unsigned silent = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const auto faults = PlanFaults(seed, milliseconds(6000), 3);
    const auto release =
        std::find_if(faults.begin(), faults.end(), [](const auto& planned) {
          return std::holds_alternative<ReleaseVersion>(planned.fault);
        });
    if (release == faults.end())
      continue;
    CHECK(release->start < milliseconds(6000));
    CHECK(PlanWorkload(seed).hang_up_percent >= 20);
    // From at most 2.5 s before the release until the old servers have left.
    const auto spans = [&](const PlannedFault& loss) {
      return loss.start >= release->start - milliseconds(2500) &&
             loss.start <= release->start &&
             loss.start + loss.duration >= release->start + release->duration;
    };
    bool has_loss = false;
    for (const PlannedFault& loss : faults) {
      if (!spans(loss))
        continue;
      const auto* link = std::get_if<DegradeStoreLink>(&loss.fault);
      const bool is_silent =
          link != nullptr && link->link_fault == LinkFault::kPauseBoth;
      const bool is_turned_away =
          std::holds_alternative<TurnGatewayAway>(loss.fault);
      silent += is_silent ? 1 : 0;
      turned_away += is_turned_away ? 1 : 0;
      has_loss |= is_silent || is_turned_away;
    }
    CHECK(has_loss);
  }
  CHECK(turned_away + silent >= kSeeds / 4);
  CHECK(turned_away > 0);
  CHECK(silent > 0);
}

TEST_CASE("Some seeds have long streams that are broken off often, some not",
          "[soak]") {
  unsigned longer = 0;
  unsigned taken_up = 0;
  constexpr unsigned kSeeds = 60;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Workload workload = PlanWorkload(seed);
    longer += workload.event_interval > milliseconds(30) ? 1 : 0;
    taken_up += workload.hang_up_percent > 10 ? 1 : 0;
    CHECK(kEventsPerStream * workload.event_interval < kRouteTimeout);
  }
  CHECK(longer > kSeeds / 4);
  CHECK(longer < kSeeds);
  CHECK(taken_up > kSeeds / 4);
}

TEST_CASE("An upgrade ends with the new build at every gateway", "[soak]") {
  bool has_rollback = false;
  bool has_kill = false;
  bool has_order = false;
  for (unsigned seed = 1; seed <= 30; ++seed) {
    std::map<int, Build> last;
    const auto steps = PlanUpgrade(seed, milliseconds(12000), 4);
    for (const GatewayReplacement& step : steps) {
      has_rollback |= step.build == Build::kOld;
      has_kill |= step.is_killed;
      last[step.gateway] = step.build;
    }
    has_order |= steps.front().gateway != 0;
    REQUIRE(last.size() == 4);
    for (const auto& [gateway, build] : last)
      CHECK(build == Build::kNew);
  }
  CHECK(has_rollback);
  CHECK(has_kill);
  CHECK(has_order);
}
