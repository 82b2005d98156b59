#include "dandelionmill/routing/quarantine_table.h"

#include <catch2/catch.hpp>

#include "dandelionmill/routing/quarantine_wire.h"
#include "dandelionmill/wire/membership.pb.h"
#include "tests/unit/routing/dispatcher_fixture.h"

using namespace routing_test;  // NOLINT(google-build-using-namespace)
using routing::BodyRun;
using routing::QuarantineStatus;
using routing::QuarantineTable;

namespace {

BodyRun RunOf(const std::string& backend, const std::string& run) {
  return {base::BackendId(backend), run};
}

}  // namespace

TEST_CASE("Records of several routers merge in any order", "[routing]") {
  const base::MonoTime now = At(milliseconds(0));
  QuarantineTable a;
  QuarantineTable b;
  a.AddCrash("body", RunOf("x", "a#1"), At(seconds(600)));
  b.AddCrash("body", RunOf("y", "b#1"), At(seconds(500)));
  CHECK(a.StatusOf("body", now) == QuarantineStatus::kSuspect);

  // Convert to a message and back, as between processes.
  const auto message = routing::ToMessage(*b.Find("body"), now);
  CHECK(a.Merge(routing::ToRecord(message, now)));
  CHECK_FALSE(a.Merge(routing::ToRecord(message, now)));
  CHECK(b.Merge(*a.Find("body")));
  CHECK(a.StatusOf("body", now) == QuarantineStatus::kQuarantined);
  CHECK(b.StatusOf("body", now) == QuarantineStatus::kQuarantined);
  CHECK(a.StatusOf("body", At(seconds(600))) == QuarantineStatus::kClean);

  SECTION("a body that completes is cleared of all crashes") {
    CHECK(a.Clear("body"));
    CHECK(b.Merge(*a.Find("body")));
    CHECK(b.StatusOf("body", now) == QuarantineStatus::kClean);
    SECTION("a later crash makes it a suspect again") {
      b.AddCrash("body", RunOf("z", "b#2"), At(seconds(600)));
      CHECK(b.StatusOf("body", now) == QuarantineStatus::kSuspect);
    }
  }
}

TEST_CASE("A run in progress at the first crash is open until it ends",
          "[routing]") {
  QuarantineTable table;
  CHECK_FALSE(table.AddInProgress("body", RunOf("y", "b#1")));
  table.AddCrash("body", RunOf("x", "a#1"), At(seconds(600)));
  CHECK(table.AddInProgress("body", RunOf("y", "b#1")));
  CHECK(routing::OpenRuns(*table.Find("body")).size() == 1);
  CHECK(table.ClearRun("body", RunOf("y", "b#1")));
  CHECK(routing::OpenRuns(*table.Find("body")).empty());
  CHECK(table.StatusOf("body", At(seconds(1))) == QuarantineStatus::kSuspect);
}
