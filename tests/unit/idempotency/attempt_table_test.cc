#include "dandelionmill/idempotency/attempt_table.h"

#include <catch2/catch.hpp>

#include "dandelionmill/idempotency/claim.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::AttemptId;
using dandelionmill::base::Code;
using dandelionmill::base::IsOk;
using dandelionmill::base::MonoTime;
using dandelionmill::base::Ran;
using dandelionmill::base::RequestKey;
using dandelionmill::base::RouterId;
using dandelionmill::base::ValueOf;
using namespace dandelionmill::idempotency;  // NOLINT

namespace {

const RequestIdentity kName{AccountId("pigments"), RequestKey("k1")};
const MonoTime kNow = MonoTime() + std::chrono::hours(1);

Attempt AttemptOf(const std::string& id, bool idempotent) {
  Attempt attempt;
  attempt.id = AttemptId(id);
  attempt.name = kName;
  attempt.body_sha256 = "body";
  attempt.idempotent = idempotent;
  attempt.router = RouterId("r/1");
  return attempt;
}

AdmissionRequest RequestFrom(const std::string& router, bool resent = false) {
  return {kName, "body", true, RouterId(router), resent};
}

Code CodeOf(const Admission& admission) {
  return std::get<Rejected>(admission).error.code;
}

}  // namespace

TEST_CASE("A retry is matched to the attempt with the same key",
          "[idempotency]") {
  AttemptTable table;
  table.Add(AttemptOf("a1", true));

  SECTION("a router that repeats its request gets the same grant") {
    const auto repeated = table.Admit(RequestFrom("r/1", true), kNow);
    CHECK(std::get<RepeatGrant>(repeated).attempt == AttemptId("a1"));
  }
  SECTION("an attempt that was not dispatched is superseded") {
    const auto retry = table.Admit(RequestFrom("r/2"), kNow);
    CHECK(std::get<NewAttempt>(retry).superseded == AttemptId("a1"));
  }
  SECTION("a retry attaches to a running attempt") {
    table.FindMutable(AttemptId("a1"))->state = AttemptState::kDispatched;
    const auto retry = table.Admit(RequestFrom("r/2"), kNow);
    CHECK(std::get<AttachTo>(retry).attempt == AttemptId("a1"));
  }
  SECTION("a retry attaches to a completed attempt until its answer expires") {
    REQUIRE(table.End(AttemptId("a1"), true, kNow));
    CHECK_FALSE(table.End(AttemptId("a1"), true, kNow));
    CHECK(std::holds_alternative<AttachTo>(
        table.Admit(RequestFrom("r/2"), kNow + kAnswerRetention / 2)));
    CHECK(std::holds_alternative<NewAttempt>(
        table.Admit(RequestFrom("r/2"), kNow + kAnswerRetention)));
    table.Expire(kNow + 2 * kAttemptRetention);
    CHECK(table.size() == 0);
  }
  SECTION("a different body under the same key is refused") {
    AdmissionRequest other = RequestFrom("r/2");
    other.body_sha256 = "other";
    CHECK(CodeOf(table.Admit(other, kNow)) == Code::kKeyReused);
  }
}

TEST_CASE("A non-idempotent request is admitted once", "[idempotency]") {
  AttemptTable table;
  table.Add(AttemptOf("a1", false));
  SECTION("a retry of a running attempt fails with kOutcomeUnknown") {
    const auto refused = table.Admit(RequestFrom("r/2"), kNow);
    CHECK(CodeOf(refused) == Code::kOutcomeUnknown);
    CHECK(std::get<Rejected>(refused).ran == Ran::kMaybe);
  }
  SECTION("a retry of a completed attempt fails with kRanAlready") {
    table.End(AttemptId("a1"), true, kNow);
    const auto refused = table.Admit(RequestFrom("r/2"), kNow);
    CHECK(CodeOf(refused) == Code::kRanAlready);
    CHECK(std::get<Rejected>(refused).ran == Ran::kYes);
  }
  SECTION(
      "a retry of an attempt without an answer fails with kOutcomeUnknown") {
    table.End(AttemptId("a1"), false, kNow);
    CHECK(CodeOf(table.Admit(RequestFrom("r/2"), kNow)) ==
          Code::kOutcomeUnknown);
  }
  SECTION("a retry is admitted after the undispatched attempt was removed") {
    table.Remove(AttemptId("a1"));
    CHECK(std::holds_alternative<NewAttempt>(
        table.Admit(RequestFrom("r/2"), kNow)));
  }
}

TEST_CASE("An existing claim row decides whether a request may run",
          "[idempotency]") {
  Claim requested;
  requested.attempt = AttemptId("a2");
  requested.body_sha256 = "body";
  Claim existing = requested;
  SECTION("the same attempt may run while its claim is not settled") {
    CHECK(std::holds_alternative<ClaimAlreadyHeld>(
        EvaluateClaim(existing, requested)));
    existing.state = ClaimState::kDone;
    CHECK(std::get<Rejected>(EvaluateClaim(existing, requested)).ran ==
          Ran::kMaybe);
  }
  SECTION("another attempt may run only after the claim was released") {
    existing.attempt = AttemptId("a1");
    CHECK(std::get<Rejected>(EvaluateClaim(existing, requested)).ran ==
          Ran::kMaybe);
    existing.state = ClaimState::kDone;
    CHECK(std::get<Rejected>(EvaluateClaim(existing, requested)).ran ==
          Ran::kYes);
    existing.state = ClaimState::kReleased;
    CHECK(std::holds_alternative<ClaimAvailable>(
        EvaluateClaim(existing, requested)));
  }
  SECTION("a claim is unchanged after serialization and parsing") {
    existing.state = ClaimState::kReleased;
    const auto parsed = ParseClaim(ToJson(existing));
    REQUIRE(IsOk(parsed));
    CHECK(ToJson(ValueOf(parsed)) == ToJson(existing));
  }
}
