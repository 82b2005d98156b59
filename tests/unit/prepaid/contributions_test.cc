#include "dandelionmill/prepaid/contributions.h"

#include <catch2/catch.hpp>

using dandelionmill::base::AccountId;
using dandelionmill::prepaid::AccountRow;
using dandelionmill::prepaid::AfterMove;
using dandelionmill::prepaid::Contributions;
using std::chrono::milliseconds;

namespace {

const AccountId kAccount("painters");
constexpr milliseconds kNow{1000000};

}  // namespace

TEST_CASE("A move is listed as a contribution of its process", "[prepaid]") {
  AccountRow row = AfterMove({}, "a", 500, 1, kNow);
  row = AfterMove(row, "a", -200, 2, kNow);
  row = AfterMove(row, "b", 100, 1, kNow);
  CHECK(row.drawn == 400);
  CHECK(row.contributions["a"].moved == 300);
  CHECK(row.contributions["a"].sequence == 2);
  CHECK(row.contributions["b"].moved == 100);
  SECTION("until it is old") {
    row = AfterMove(row, "b", 1, 2, kNow + std::chrono::minutes(11));
    CHECK(row.contributions.count("a") == 0);
    CHECK(row.drawn == 401);
  }
  SECTION("which is stored with the row") {
    const auto decoded = dandelionmill::prepaid::DecodeAccountRow(Encode(row));
    REQUIRE(dandelionmill::base::IsOk(decoded));
    const AccountRow& read = dandelionmill::base::ValueOf(decoded);
    CHECK(read.drawn == 400);
    CHECK(read.contributions.at("a").moved == 300);
    CHECK(read.contributions.at("a").as_of == kNow);
  }
}

// Guards against a total that lacks, or has twice, what was drawn after the
// copy from which the store was restored.
TEST_CASE("A total is completed by the later contributions of earlier eras",
          "[prepaid]") {
  const AccountRow copy = AfterMove({}, "a", 500, 1, kNow);
  AccountRow lost = AfterMove(copy, "a", 300, 2, kNow);
  lost = AfterMove(lost, "b", 70, 1, kNow);
  Contributions contributions;
  contributions.Observe(kAccount, lost, 0);
  const AccountRow completed = contributions.Complete(kAccount, copy, 1);
  CHECK(completed.drawn == 870);
  CHECK(contributions.HasEarlier(kAccount, 1));
  SECTION("once") {
    contributions.Observe(kAccount, completed, 1);
    CHECK_FALSE(contributions.HasEarlier(kAccount, 1));
    CHECK(contributions.Complete(kAccount, completed, 1).drawn == 870);
  }
  SECTION("by each instance for what it knows") {
    Contributions other;
    other.Observe(kAccount, AfterMove(copy, "c", 9, 1, kNow), 0);
    CHECK(other.Complete(kAccount, completed, 1).drawn == 879);
  }
  SECTION("but by none that the stored total has in a later state") {
    const AccountRow later = AfterMove(completed, "a", -100, 3, kNow);
    CHECK(contributions.Complete(kAccount, later, 1).drawn == 770);
  }
  SECTION("but by none of the same era") {
    CHECK(contributions.Complete(kAccount, copy, 0).drawn == 500);
  }
}
