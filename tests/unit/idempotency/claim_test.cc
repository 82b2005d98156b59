#include "dandelionmill/idempotency/claim.h"

#include <catch2/catch.hpp>
#include <string>

using dandelionmill::idempotency::Claim;
using dandelionmill::idempotency::ClaimAvailable;
using dandelionmill::idempotency::ClaimDecision;
using dandelionmill::idempotency::ClaimState;
using dandelionmill::idempotency::EvaluateClaim;
using dandelionmill::idempotency::ParseClaim;
using dandelionmill::idempotency::Rejected;
namespace base = dandelionmill::base;

namespace {

Claim ClaimInState(const std::string& state) {
  const auto parsed = ParseClaim(
      R"({"attempt":"a-1","body_sha256":"b","state":)" + state + "}");
  REQUIRE(base::IsOk(parsed));
  return base::ValueOf(parsed);
}

Claim OtherAttempt() {
  Claim requested;
  requested.attempt = base::AttemptId("a-2");
  requested.body_sha256 = "b";
  return requested;
}

}  // namespace

TEST_CASE("A claim with an unknown state blocks other attempts",
          "[idempotency]") {
  const std::string state =
      GENERATE(R"("")", R"("settled")", R"("Released")", R"("claimed")");
  const Claim claim = ClaimInState(state);
  CHECK(claim.state == ClaimState::kClaimed);
  const ClaimDecision decision = EvaluateClaim(claim, OtherAttempt());
  REQUIRE(std::holds_alternative<Rejected>(decision));
  CHECK(std::get<Rejected>(decision).ran == base::Ran::kMaybe);
}

TEST_CASE("A claim without a state counts as claimed", "[idempotency]") {
  const auto parsed = ParseClaim(R"({"attempt":"a-1"})");
  REQUIRE(base::IsOk(parsed));
  CHECK(base::ValueOf(parsed).state == ClaimState::kClaimed);
}

TEST_CASE("Parsing a claim whose state is not a string fails",
          "[idempotency]") {
  CHECK_FALSE(base::IsOk(ParseClaim(R"({"attempt":"a-1","state":7})")));
}

TEST_CASE("A released claim may be taken over by another attempt",
          "[idempotency]") {
  CHECK(std::holds_alternative<ClaimAvailable>(
      EvaluateClaim(ClaimInState(R"("released")"), OtherAttempt())));
}
