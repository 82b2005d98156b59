#include "dandelionmill/budget/holder_lease.h"

#include <catch2/catch.hpp>

#include "dandelionmill/budget/recovery.h"

using dandelionmill::base::AttemptId;
using dandelionmill::base::HolderId;
using dandelionmill::base::RouterId;
using namespace dandelionmill::budget;  // NOLINT(google-build-using-namespace)

namespace {

const HolderId kHolder("a/1");
const RouterId kRouter("r/1");
const RouterId kOtherRouter("r/2");

// A row and a lease of 100 tokens on it, with ceilings of 60 tokens for kRouter
// and 50 for kOtherRouter.
struct LeaseFixture {
  Row row;
  std::uint64_t version = 1;
  HolderLease lease{kHolder};

  LeaseFixture() {
    row.granted = 1000;
    Commit({100, {{kRouter, 60}, {kOtherRouter, 50}}, {}, {}});
  }
  void Commit(const LeaseChange& change) {
    row = lease.Prepare(row, version, change);
    lease.OnCommitted();
    ++version;
  }
};

}  // namespace

TEST_CASE("A lease cannot reserve more tokens than were drawn", "[budget]") {
  LeaseFixture fixture;
  CHECK(fixture.lease.Reserve(kRouter, 60));
  SECTION("reservations of a router are limited by its ceiling") {
    CHECK_FALSE(fixture.lease.Reserve(kRouter, 1));
    CHECK(fixture.lease.Reserve(kOtherRouter, 40));
    CHECK_FALSE(fixture.lease.Reserve(kOtherRouter, 1));
  }
  SECTION("tokens left unused by a settlement can be reserved again") {
    fixture.lease.Settle(kRouter, 60, 20);
    CHECK(fixture.lease.Available() == 80);
    CHECK(fixture.lease.AvailableTo(kRouter) == 40);
    CHECK(fixture.lease.UnrecordedSettled() == 20);
  }
}

TEST_CASE("The lower of both outcomes is available while a write is in flight",
          "[budget]") {
  LeaseFixture fixture;
  const Row before = fixture.row;
  SECTION("a draw is available only after the row shows it") {
    const Row after =
        fixture.lease.Prepare(before, 2, {50, {{kRouter, 200}}, {}, {}});
    CHECK(fixture.lease.Available() == 100);
    fixture.lease.OnRow(before, 2);
    CHECK(fixture.lease.HasWriteInFlight());
    fixture.lease.OnRow(after, 3);
    CHECK_FALSE(fixture.lease.HasWriteInFlight());
    CHECK(fixture.lease.Available() == 150);
  }
  SECTION(
      "a return applies until a newer row shows that it was not committed") {
    fixture.lease.Prepare(before, 2, {-70, {{kRouter, 30}}, {}, {}});
    CHECK(fixture.lease.Available() == 30);
    fixture.lease.OnRow(before, 2);
    CHECK(fixture.lease.Available() == 30);
    fixture.lease.OnRow(before, 3);
    CHECK(fixture.lease.Available() == 100);
  }
  SECTION("an older row is ignored") {
    fixture.Commit({50, {{kRouter, 60}}, {}, {}});
    CHECK(fixture.lease.OnRow(before, 2) == HolderLease::RowStatus::kStale);
    CHECK(fixture.lease.Available() == 150);
  }
}

TEST_CASE("A lost holder's lease is settled exactly from routers' reports",
          "[budget]") {
  LeaseFixture fixture;
  REQUIRE(fixture.lease.Reserve(kRouter, 30));
  REQUIRE(fixture.lease.Reserve(kOtherRouter, 40));
  HolderReports reports_by_holder;
  RouterUses& reports = reports_by_holder[kHolder];
  reports[kRouter] = {0, {{AttemptId("x"), 30}}};
  SECTION("nothing is written off when all routers have reported") {
    reports[kOtherRouter] = {25, {}};
    const RecoveryResult recovered =
        RecoverLease(fixture.row, kHolder, reports_by_holder);
    CHECK(recovered.written_off == 0);
    CHECK(recovered.returned == 45);
    CHECK(recovered.row.settled == 25);
    CHECK(TakeoverChange(recovered).adopted.at(kRouter) == 30);
    CHECK(Free(recovered.row) == 975);
  }
  SECTION("a router without a report is written off up to its ceiling") {
    const RecoveryResult recovered =
        RecoverLease(fixture.row, kHolder, reports_by_holder);
    CHECK(recovered.written_off == 50);
    CHECK(recovered.returned == 20);
    CHECK(recovered.row.lost.at(kHolder).ceilings.at(kOtherRouter) == 50);
  }
  SECTION("an attempt that two routers report is adopted once") {
    reports[kOtherRouter] = {10, {{AttemptId("x"), 30}}};
    const RecoveryResult recovered =
        RecoverLease(fixture.row, kHolder, reports_by_holder);
    CHECK(recovered.returned == 60);
    CHECK(recovered.adopted.size() == 1);
  }
  SECTION(
      "recovery of the successor includes the reservations that it took over") {
    reports[kOtherRouter] = {25, {}};
    const RecoveryResult recovered =
        RecoverLease(fixture.row, kHolder, reports_by_holder);
    HolderLease next(HolderId("b/1"));
    LeaseChange change = TakeoverChange(recovered);
    change.slices = {{kRouter, 0}};
    const Row row = next.Prepare(recovered.row, 3, change);
    next.OnCommitted();
    CHECK(next.reserved() == 30);
    // The router continues to count the attempt under the first holder.
    reports[kRouter] = {18, {}};
    reports_by_holder[HolderId("b/1")][kRouter] = {0, {}};
    const RecoveryResult again =
        RecoverLease(row, HolderId("b/1"), reports_by_holder);
    CHECK(again.row.settled == 43);
    CHECK(again.written_off == 0);
    CHECK(Free(again.row) == 957);
  }
  SECTION("a paused holder finds its lease closed after the recovery") {
    const RecoveryResult recovered =
        RecoverLease(fixture.row, kHolder, reports_by_holder);
    CHECK(fixture.lease.OnRow(recovered.row, 3) ==
          HolderLease::RowStatus::kClosed);
    CHECK_FALSE(fixture.lease.Reserve(kOtherRouter, 1));
  }
}
