#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <ostream>

#include "tests/property/routing/dispatcher_model.h"

using namespace routing_test;  // NOLINT(google-build-using-namespace)
using routing::AttemptResult;

namespace {

struct Step {
  int kind = 0;
  unsigned a = 0;
  unsigned b = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.kind << ", " << step.a << ", " << step.b << "}";
}

base::BackendId BackendNumber(unsigned n) {
  return base::BackendId(std::string(1, static_cast<char>('a' + n % 4)));
}

routing::Request RandomRequest(DispatcherModel& model, unsigned a, unsigned b) {
  routing::Request request =
      RequestOf(model.submitted() + 1, "account-" + std::to_string(a % 3));
  request.weight = 1 + static_cast<int>(a % 2);
  request.idempotent = b % 3 != 0;
  request.replayable = b % 5 == 0;
  request.priority = static_cast<int>(a % 10);
  // Some bodies repeat; requests without a digest are exempt from quarantine.
  request.body_sha256 = b % 2 == 0 ? "" : "body-" + std::to_string(a % 6);
  request.prefix_blocks = {"p" + std::to_string(a % 3),
                           "q" + std::to_string(b % 5)};
  request.deadline = model.now() + milliseconds(500 + 100 * (a % 200));
  return request;
}

void Run(DispatcherModel& model, const Step& step) {
  const auto running = model.Running();
  switch (step.kind) {
    case 0:
    case 1:
    case 2:
      return model.Submit(RandomRequest(model, step.a, step.b));
    case 3:
    case 4:
      if (!running.empty()) {
        model.End(running[step.a % running.size()],
                  static_cast<AttemptResult>(step.b % 7), step.b % 4 == 0);
      }
      return;
    case 5:
      if (!running.empty())
        model.End(running[step.a % running.size()], AttemptResult::kCompleted,
                  true);
      return;
    case 6:
      model.Advance(milliseconds(step.a % 700));
      return model.Tick();
    case 7:
      return model.SetLeaving(
          step.a % 2 == 0 ? std::set<base::BackendId>{}
                          : std::set<base::BackendId>{BackendNumber(step.b)});
    case 8:
      return model.ReportLeaving(BackendNumber(step.a), step.b % 4 == 0);
    case 9:
      return model.FailReport(BackendNumber(step.a));
    default:
      if (model.submitted() > 0)
        model.DisconnectCaller(1 + step.a % model.submitted());
  }
}

inventory::Core RandomCore(unsigned policy) {
  inventory::Core core =
      CoreWith({BackendIn("a", "n1", 2), BackendIn("b", "n1", 1),
                BackendIn("c", "n2", 2), BackendIn("d", "s1", 1)});
  core.rules.routing_policy = static_cast<inventory::RoutingPolicy>(policy % 4);
  return core;
}

}  // namespace

TEST_CASE("The dispatcher keeps its invariants under any order of events",
          "[routing]") {
  const bool holds = rc::check([] {
    const auto policy = *rc::gen::inRange(0u, 4u);
    const auto steps = *rc::gen::scale(
        3, rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
               rc::gen::set(&Step::kind, rc::gen::inRange(0, 11)),
               rc::gen::set(&Step::a, rc::gen::inRange(0u, 1000u)),
               rc::gen::set(&Step::b, rc::gen::inRange(0u, 1000u)))));
    DispatcherModel model(RandomCore(policy));
    for (const Step& step : steps)
      Run(model, step);
    model.RunToCompletion();
    for (const std::string& violation : model.violations())
      RC_FAIL(violation);
  });
  CHECK(holds);
}
