#include "dandelionmill/budget/row.h"

#include <catch2/catch.hpp>

using dandelionmill::base::Code;
using dandelionmill::base::ErrorOf;
using dandelionmill::base::HolderId;
using dandelionmill::base::IsOk;
using dandelionmill::base::RouterId;
using dandelionmill::base::ValueOf;
using namespace dandelionmill::budget;  // NOLINT(google-build-using-namespace)

namespace {

Row SampleRow() {
  Row row;
  row.granted = 1000;
  row.settled = 200;
  row.written_off = 50;
  Lease lease;
  lease.drawn = 400;
  lease.settled = 150;
  lease.sequence = 7;
  lease.ceilings[RouterId("r/1")] = 300;
  lease.retired = 20;
  lease.took[HolderId("c/1")][RouterId("r/1")] = 9;
  row.leases[HolderId("a/1")] = lease;
  row.lost[HolderId("b/1")] = {5, {{RouterId("r/2"), 60}}};
  return row;
}

}  // namespace

TEST_CASE("A budget row is unchanged after serialization and parsing",
          "[budget]") {
  const Row row = SampleRow();
  const auto parsed = ParseRow(ToJson(row));
  REQUIRE(IsOk(parsed));
  CHECK(ToJson(ValueOf(parsed)) == ToJson(row));
  CHECK(Free(ValueOf(parsed)) == 500);
  CHECK(MinimumGranted(ValueOf(parsed)) == 500);
}

TEST_CASE("Parsing a malformed budget row fails", "[budget]") {
  CHECK_FALSE(IsOk(ParseRow("")));
  CHECK_FALSE(IsOk(ParseRow("{}")));
  CHECK_FALSE(IsOk(ParseRow(R"({"granted":1,"leases":{"a":{}}})")));
}

TEST_CASE("Granted tokens can be reduced down to the minimum", "[budget]") {
  SECTION("added tokens are free immediately") {
    CHECK(Free(ValueOf(ApplyGranted(SampleRow(), 3000))) == 2500);
  }
  SECTION("the minimum itself is accepted") {
    CHECK(Free(ValueOf(ApplyGranted(SampleRow(), 500))) == 0);
  }
  SECTION("a lower value is rejected and the error contains the minimum") {
    const auto rejected = ApplyGranted(SampleRow(), 499);
    REQUIRE_FALSE(IsOk(rejected));
    CHECK(ErrorOf(rejected).code == Code::kBudgetFloor);
    CHECK(ErrorOf(rejected).detail.find("500") != std::string::npos);
  }
}
