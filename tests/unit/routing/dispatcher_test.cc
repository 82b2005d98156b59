#include "dandelionmill/routing/dispatcher.h"

#include <catch2/catch.hpp>

#include "tests/unit/routing/dispatcher_fixture.h"

using namespace routing_test;  // NOLINT(google-build-using-namespace)
using base::Code;
using base::Ran;
using routing::AttemptResult;
using routing::Dispatcher;

namespace {

Dispatcher DispatcherIn(const std::string& zone, inventory::Core core) {
  Dispatcher dispatcher(base::ZoneId(zone), 1);
  dispatcher.OnConfig(SnapshotOf(std::move(core)), At(milliseconds(0)));
  return dispatcher;
}

}  // namespace

TEST_CASE("Requests go to the nearest backend server with a free slot",
          "[routing]") {
  inventory::Core core =
      CoreWith({BackendIn("far", "s1"), BackendIn("near", "n1"),
                BackendIn("mid", "n2")});

  SECTION("own zone first, then region, then other regions when full") {
    Dispatcher dispatcher = DispatcherIn("n1", core);
    CHECK(DispatchedTo(dispatcher.Submit(RequestOf(1), At(milliseconds(1)))) ==
          "near");
    CHECK(DispatchedTo(dispatcher.Submit(RequestOf(2), At(milliseconds(2)))) ==
          "mid");
    CHECK(DispatchedTo(dispatcher.Submit(RequestOf(3), At(milliseconds(3)))) ==
          "far");
    CHECK(dispatcher.Submit(RequestOf(4), At(milliseconds(4))).empty());
    CHECK(DispatchedTo(dispatcher.OnAttemptEnded(1, AttemptResult::kCompleted,
                                                 true, At(milliseconds(9)))) ==
          "near");
  }
  SECTION("cross_region = never keeps requests out of other regions") {
    core.rules.cross_region = inventory::Spill::kNever;
    Dispatcher dispatcher = DispatcherIn("n1", core);
    dispatcher.Submit(RequestOf(1), At(milliseconds(1)));
    dispatcher.Submit(RequestOf(2), At(milliseconds(2)));
    CHECK(dispatcher.Submit(RequestOf(3), At(milliseconds(3))).empty());
  }
}

TEST_CASE("A leaving backend server receives no new requests", "[routing]") {
  Dispatcher dispatcher = DispatcherIn(
      "n1", CoreWith({BackendIn("a", "n1", 4), BackendIn("b", "n2", 4)}));

  SECTION("marked as leaving in the instance list") {
    dispatcher.SetLeavingBackends({base::BackendId("a")}, At(milliseconds(1)));
  }
  SECTION("leaving according to its load report") {
    routing::LoadReport report;
    report.leaving = true;
    report.slots = 4;
    report.measured_at = At(milliseconds(1));
    dispatcher.OnLoadReport(base::BackendId("a"), report, At(milliseconds(1)));
  }
  SECTION("leaving according to its answer") {
    dispatcher.OnBackendLeaving(base::BackendId("a"), At(milliseconds(1)));
  }
  CHECK(DispatchedTo(dispatcher.Submit(RequestOf(1), At(milliseconds(2)))) ==
        "b");
}

TEST_CASE("A pool without a usable backend server refuses waiting requests",
          "[routing]") {
  Dispatcher dispatcher = DispatcherIn("n1", CoreWith({BackendIn("a", "n1")}));
  dispatcher.Submit(RequestOf(1), At(milliseconds(1)));
  dispatcher.Submit(RequestOf(2), At(milliseconds(1)));
  const auto refusal = RefusalIn(dispatcher.SetLeavingBackends(
      {base::BackendId("a")}, At(milliseconds(2))));
  REQUIRE(refusal);
  CHECK(refusal->number == 2);
  CHECK(refusal->error.code == Code::kNoBackend);
  CHECK(refusal->ran == Ran::kNo);
  CHECK(refusal->retry_after >= milliseconds(1000));
}

TEST_CASE("A request that cannot meet its deadline is refused at once",
          "[routing]") {
  Dispatcher dispatcher = DispatcherIn("n1", CoreWith({BackendIn("a", "n1")}));
  dispatcher.Submit(RequestOf(1), At(milliseconds(0)));
  dispatcher.OnAttemptEnded(1, AttemptResult::kCompleted, true,
                            At(seconds(10)));
  dispatcher.Submit(RequestOf(2), At(seconds(10)));

  routing::Request too_late = RequestOf(3);
  too_late.deadline = At(seconds(15));
  const auto refusal =
      RefusalIn(dispatcher.Submit(too_late, At(milliseconds(10001))));
  REQUIRE(refusal);
  CHECK(refusal->error.code == Code::kOverloaded);
  CHECK(refusal->ran == Ran::kNo);
  CHECK(refusal->retry_after > milliseconds(0));

  SECTION("a waiting request is refused once it cannot meet its deadline") {
    routing::Request waiting = RequestOf(4);
    waiting.deadline = At(seconds(31));
    CHECK(dispatcher.Submit(waiting, At(milliseconds(10002))).empty());
    CHECK_FALSE(RefusalIn(dispatcher.OnTick(At(seconds(20)))));
    CHECK(RefusalIn(dispatcher.OnTick(At(seconds(22)))));
  }
}

TEST_CASE("A failed attempt is retried only if that is safe", "[routing]") {
  Dispatcher dispatcher = DispatcherIn(
      "n1", CoreWith({BackendIn("a", "n1"), BackendIn("b", "n1")}));
  routing::Request request = RequestOf(1);

  SECTION("an idempotent request goes to another backend server") {
    const std::string first =
        DispatchedTo(dispatcher.Submit(request, At(milliseconds(1))));
    const std::string second = DispatchedTo(dispatcher.OnAttemptEnded(
        1, AttemptResult::kConnectionLost, false, At(milliseconds(2))));
    REQUIRE_FALSE(first.empty());
    CHECK(second == (first == "a" ? "b" : "a"));
  }
  SECTION("a non-idempotent request is never sent again") {
    request.idempotent = false;
    dispatcher.Submit(request, At(milliseconds(1)));
    SECTION("it may have run if the connection was lost") {
      const auto refusal = RefusalIn(dispatcher.OnAttemptEnded(
          1, AttemptResult::kConnectionLost, false, At(milliseconds(2))));
      REQUIRE(refusal);
      CHECK(refusal->error.code == Code::kOutcomeUnknown);
      CHECK(refusal->ran == Ran::kMaybe);
      CHECK(refusal->retry_after == milliseconds(0));
    }
    SECTION("it did not run if no byte was sent") {
      const auto refusal = RefusalIn(dispatcher.OnAttemptEnded(
          1, AttemptResult::kNotSent, false, At(milliseconds(2))));
      REQUIRE(refusal);
      CHECK(refusal->ran == Ran::kNo);
      CHECK(refusal->retry_after > milliseconds(0));
    }
  }
  SECTION("a request is not rerun after part of its answer was sent") {
    dispatcher.Submit(request, At(milliseconds(1)));
    const auto refusal = RefusalIn(dispatcher.OnAttemptEnded(
        1, AttemptResult::kCrashed, true, At(milliseconds(2))));
    REQUIRE(refusal);
    CHECK(refusal->error.code == Code::kAnswerIncomplete);
    CHECK(refusal->ran == Ran::kYes);
  }
  SECTION("a replayable request is rerun after part of its answer was sent") {
    request.replayable = true;
    const std::string first =
        DispatchedTo(dispatcher.Submit(request, At(milliseconds(1))));
    const std::string second = DispatchedTo(dispatcher.OnAttemptEnded(
        1, AttemptResult::kConnectionLost, true, At(milliseconds(2))));
    CHECK(second == (first == "a" ? "b" : "a"));
  }
}

TEST_CASE(
    "A full queue drops a request of the account with the longest backlog",
    "[routing]") {
  Dispatcher dispatcher = DispatcherIn("n1", CoreWith({BackendIn("a", "n1")}));
  for (routing::RequestNumber number = 1; number <= 5; ++number)
    dispatcher.Submit(RequestOf(number, "heavy"), At(milliseconds(1)));

  const auto heavy =
      RefusalIn(dispatcher.Submit(RequestOf(6, "heavy"), At(milliseconds(2))));
  REQUIRE(heavy);
  CHECK(heavy->number == 6);
  const auto light =
      RefusalIn(dispatcher.Submit(RequestOf(7, "light"), At(milliseconds(3))));
  REQUIRE(light);
  CHECK(light->number == 5);
  CHECK(light->error.code == Code::kOverloaded);
}

TEST_CASE(
    "Requests go to backend servers that have loaded their model and adapter",
    "[routing]") {
  Dispatcher dispatcher = DispatcherIn(
      "n1", CoreWith({BackendIn("a", "n1", 4), BackendIn("b", "n1", 4)}));
  const auto report = [&](const std::string& backend,
                          const std::set<std::string>& models) {
    routing::LoadReport load;
    load.models = models;
    load.measured_at = At(milliseconds(1));
    return dispatcher.OnLoadReport(base::BackendId(backend), load,
                                   At(milliseconds(1)));
  };
  report("a", {"ochre-8b-large@1"});
  report("b", {"ochre-8b@2", "shades"});
  CHECK(DispatchedTo(dispatcher.Submit(RequestOf(1), At(milliseconds(2)))) ==
        "b");
  routing::Request request = RequestOf(2);
  request.adapter = "shades";
  CHECK(DispatchedTo(dispatcher.Submit(request, At(milliseconds(2)))) == "b");

  request = RequestOf(3);
  request.adapter = "certificates";
  const auto refusal =
      RefusalIn(dispatcher.Submit(request, At(milliseconds(2))));
  REQUIRE(refusal);
  CHECK(refusal->error.code == Code::kNoBackend);
}
