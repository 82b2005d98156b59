#include "dandelionmill/prepaid/rows.h"

#include <catch2/catch.hpp>

namespace base = dandelionmill::base;
using dandelionmill::prepaid::DecodeAccountRow;
using dandelionmill::prepaid::DecodeHolderRow;

namespace {

const base::AccountId kAccount("painters");

}  // namespace

// The rows are as the builds 9045e41 and 13e3593 write them.
TEST_CASE("Prepaid rows of earlier builds are read without the later fields",
          "[prepaid]") {
  const auto total = DecodeAccountRow(
      R"({"contributions":{"front-1/a":[40,7,900]},"drawn":50,"era":2})");
  REQUIRE(base::IsOk(total));
  CHECK(base::ValueOf(total).drawn == 50);
  CHECK(base::ValueOf(total).era == 2);
  CHECK(base::ValueOf(total).contributions.at("front-1/a").moved == 40);
  CHECK(base::ValueOf(total).completed_era == 0);
  CHECK(base::ValueOf(total).written_off_era == 0);
  CHECK(base::ValueOf(total).written_off == 0);

  const auto holder = DecodeHolderRow(
      R"({"as_of_ms":900,"era":2,"process":"front-1/a","quiet_ms":900,)"
      R"("sequence":7,"shares":{"painters":[40,30,12]}})");
  REQUIRE(base::IsOk(holder));
  CHECK(base::ValueOf(holder).process == "front-1/a");
  CHECK(base::ValueOf(holder).shares.at(kAccount).drawn == 40);
  CHECK(base::ValueOf(holder).shares.at(kAccount).committed == 30);
  CHECK(base::ValueOf(holder).shares.at(kAccount).rate_per_s == 12);
  CHECK(base::ValueOf(holder).unsettled.empty());
}

TEST_CASE("Unknown fields of prepaid rows do not keep them from being read",
          "[prepaid]") {
  CHECK(base::IsOk(DecodeAccountRow(
      R"({"drawn":5,"later":{"a":[]},"contributions":{"p":[1,2,3,"x"]}})")));
  CHECK(base::IsOk(DecodeHolderRow(
      R"({"process":"p","sequence":1,"as_of_ms":1,"quiet_ms":1,"later":[0],)"
      R"("shares":{"painters":[1,1,0.5,"x"]}})")));
}

// Guards against a total that leaves more tokens than were prepaid, since a
// value out of range was taken as it is.
TEST_CASE("A stored total with a value that it cannot have is rejected",
          "[prepaid]") {
  for (const char* text :
       {"", "7", "[]", "{}", R"({"drawn":-5})", R"({"drawn":1.5})",
        R"({"drawn":1e300})", R"({"drawn":"5"})", R"({"drawn":true})",
        R"({"drawn":18446744073709551615})", R"({"drawn":null})",
        R"({"drawn":5,"era":-1})", R"({"drawn":5,"completed_era":"2"})",
        R"({"drawn":5,"written_off":-5})", R"({"drawn":5,"contributions":[]})",
        R"({"drawn":5,"contributions":{"p":[1,2]}})",
        R"({"drawn":5,"contributions":{"p":{"moved":1}}})",
        R"({"drawn":5,"contributions":{"p":[1,-2,3]}})"}) {
    INFO(text);
    const auto row = DecodeAccountRow(text);
    REQUIRE_FALSE(base::IsOk(row));
    CHECK(base::ErrorOf(row).code == base::Code::kMalformedMessage);
  }
}

// Guards against a successor that recovers more tokens than its predecessor
// held, since the row commits or grants fewer than none.
TEST_CASE("A holder row with a value that it cannot have is rejected",
          "[prepaid]") {
  const auto with = [](const std::string& shares, const std::string& rest) {
    return R"({"process":"p","sequence":1,"as_of_ms":1,"quiet_ms":1,"shares":)" +
           shares + rest + "}";
  };
  REQUIRE(base::IsOk(DecodeHolderRow(with(R"({"a":[5,3,1]})", ""))));
  for (const std::string& text :
       {with(R"({"a":[5,-3,1]})", ""), with(R"({"a":[-5,0,1]})", ""),
        with(R"({"a":[5,3,-1]})", ""), with(R"({"a":[5,3]})", ""),
        with(R"({"a":[5.5,3,1]})", ""), with(R"({"a":5})", ""),
        with(R"({"a":[5,3,1e300]})", ""), with("[]", ""), with("null", ""),
        with("{}", R"(,"unsettled":"painters")"),
        with("{}", R"(,"unsettled":[1])"), with("{}", R"(,"era":-1)"),
        std::string(R"({"process":"p","sequence":1,"shares":{}})")}) {
    INFO(text);
    const auto row = DecodeHolderRow(text);
    REQUIRE_FALSE(base::IsOk(row));
    CHECK(base::ErrorOf(row).code == base::Code::kMalformedMessage);
  }
}
