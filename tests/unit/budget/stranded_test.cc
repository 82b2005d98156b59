#include <catch2/catch.hpp>
#include <string>

#include "dandelionmill/budget/holder_lease.h"
#include "dandelionmill/budget/lease_policy.h"
#include "dandelionmill/budget/recovery.h"

using dandelionmill::base::HolderId;
using dandelionmill::base::RouterId;
using dandelionmill::base::Tokens;
using namespace dandelionmill::budget;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Tokens kRate = 8500;  // tokens per second of one zone
constexpr Tokens kReserveSeconds = 120;
constexpr Tokens kRequestTokens = 100;
constexpr int kWritePeriodSeconds = 5;
const HolderId kHolder("h/1");

struct RecoveryLoss {
  // All values in seconds of the zone's demand.
  // Outstanding tokens, all written off if no router reports.
  double all_written_off = 0;
  double written_off = 0;
  double returned = 0;
};

// Simulates a zone of `routers` routers under steady demand. Just before the
// next write its holder is lost together with the first `routers_lost` routers.
RecoveryLoss SimulateHolderLoss(int routers, int routers_lost) {
  std::set<RouterId> ids;
  for (int i = 0; i < routers; ++i)
    ids.insert(RouterId("r/" + std::to_string(i)));
  Row row;
  row.granted = kRate * kReserveSeconds * 100;
  HolderLease lease(kHolder);
  std::uint64_t version = 1;
  HolderReports reports;
  for (int write = 0; write < 10; ++write) {
    LeaseChange change;
    change.draw = kRate * kReserveSeconds - lease.Available();
    change.slices =
        SplitAmongRouters(ids, kRate * kReserveSeconds, kRequestTokens);
    row = lease.Prepare(row, version++, change);
    lease.OnCommitted();
    for (Tokens spent = 0; spent < kRate * kWritePeriodSeconds;) {
      for (const RouterId& id : ids) {
        REQUIRE(lease.Reserve(id, kRequestTokens));
        lease.Settle(id, kRequestTokens, kRequestTokens);
        reports[kHolder][id].settled += kRequestTokens;
        spent += kRequestTokens;
      }
    }
  }
  for (int i = 0; i < routers_lost; ++i)
    reports[kHolder].erase(RouterId("r/" + std::to_string(i)));
  const RecoveryResult recovered = RecoverLease(row, kHolder, reports);
  CHECK(Free(recovered.row) >= 0);
  const auto rate = static_cast<double>(kRate);
  return {static_cast<double>(Outstanding(row)) / rate,
          static_cast<double>(recovered.written_off) / rate,
          static_cast<double>(recovered.returned) / rate};
}

}  // namespace

TEST_CASE(
    "Recovery of a lost control writes off nothing when all routers report",
    "[budget]") {
  for (const int routers : {3, 85}) {
    const RecoveryLoss loss = SimulateHolderLoss(routers, 0);
    CAPTURE(routers, loss.all_written_off, loss.returned);
    CHECK(loss.written_off == 0);
  }
}

TEST_CASE(
    "Loss of an instance writes off at most its slice and the use since the "
    "last write",
    "[budget]") {
  for (const int routers : {3, 85}) {
    const RecoveryLoss loss = SimulateHolderLoss(routers, 1);
    CAPTURE(routers, loss.all_written_off);
    CHECK(loss.written_off > 0);
    // The slice plus the tokens spent since the last write, which cannot be
    // distinguished from unused tokens of the slice.
    CHECK(loss.written_off <=
          1.5 * kReserveSeconds / routers + kWritePeriodSeconds);
  }
}
