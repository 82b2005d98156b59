#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

#include "dandelionmill/budget/row.h"
#include "tests/property/budget/world.h"
#include "tests/property/rapidcheck_cases.h"

namespace budget = dandelionmill::budget;

namespace {

constexpr int kMaxSteps = 300;
const DefaultCases kCases(10000);

rc::Gen<std::vector<Step>> GenSteps() {
  // Small sizes would never generate some kinds of steps.
  const auto step = rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Step>(
          rc::gen::set(&Step::kind, rc::gen::inRange(0, World::kStepKinds)),
          rc::gen::set(&Step::actor, rc::gen::inRange(0, 64)),
          rc::gen::set(&Step::target, rc::gen::inRange(0, 6)),
          rc::gen::set(&Step::amount, rc::gen::inRange(0, 400))));
  const auto count =
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(20, kMaxSteps));
  return rc::gen::mapcat(count, [step](int count) {
    return rc::gen::container<std::vector<Step>>(
        static_cast<std::size_t>(count), step);
  });
}

void CheckRow(const World& world) {
  RC_ASSERT(budget::Free(world.row()) >= 0);
  RC_ASSERT(world.LeasesAreCovered());
  RC_ASSERT(world.row().settled >= 0);
  RC_ASSERT(world.row().written_off >= 0);
  RC_ASSERT(world.spent() <= world.row().granted);
}

}  // namespace

TEST_CASE("No order of events overspends a budget", "[property][budget]") {
  const bool passed = rc::check(
      "neither the settled, leased and written-off tokens nor the actual use "
      "by "
      "engines exceeds the granted tokens",
      [] {
        World world(World::Recovery::kAtAnyTime);
        for (const Step& step : *GenSteps()) {
          world.Execute(step);
          CheckRow(world);
        }
        RC_CLASSIFY(world.spent() > 0, "spent");
        RC_CLASSIFY(!world.row().lost.empty(), "holder recorded as lost");
        RC_CLASSIFY(world.row().leases.size() > 1, "two leases");
        world.Settle();
        RC_CLASSIFY(world.row().written_off > 0, "written off");
        CheckRow(world);
        // Every token that engines used is accounted for.
        RC_ASSERT(world.spent() <= budget::MinimumGranted(world.row()));
      });
  CHECK(passed);
}

TEST_CASE("Nothing is written off while all routers are alive",
          "[property][budget]") {
  const bool passed = rc::check(
      "the settled tokens equal the tokens used by engines after every holder "
      "was recovered",
      [] {
        World world(World::Recovery::kAtTheEnd);
        for (const Step& step : *GenSteps()) {
          // No router is lost or takes over attempts from another router.
          if (step.kind != World::kLoseRouter &&
              step.kind != World::kMoveAttempt)
            world.Execute(step);
        }
        world.Settle();
        RC_ASSERT(world.row().written_off == 0);
        RC_ASSERT(budget::Outstanding(world.row()) == 0);
        RC_ASSERT(world.row().settled == world.spent());
      });
  CHECK(passed);
}
