#include "tests/soak/invariants.h"

#include <catch2/catch.hpp>

using namespace soak;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

Time At(int ms) {
  return Time(std::chrono::hours(1)) + milliseconds(ms);
}

// One request with a complete response from a single run.
struct Fixture {
  Records records;

  Fixture() {
    Exchange exchange;
    exchange.request = {"a",   Kind::kUnsafe,      "large", 0, 1,
                        At(0), milliseconds(3000), 0,       0};
    exchange.outcome = {At(100), 200, true, true, true, 0};
    records.exchanges = {exchange};
    records.runs = {{"a", "large", "b-0", At(50), false}};
    records.prepaid = {{"large", 1000}};
  }
  Request& request() { return records.exchanges[0].request; }
  Outcome& outcome() { return records.exchanges[0].outcome; }
  std::string FirstViolation() const {
    const auto violations = CheckInvariants(records, Bounds());
    return violations.empty() ? "" : violations[0].invariant;
  }
  void Disturb(Disturbance::Component component,
               Disturbance::Category category) {
    records.disturbances.push_back(
        {component, category, 0, "x", At(40), At(60)});
  }
};

}  // namespace

TEST_CASE("A complete response from a single run violates no invariant",
          "[soak]") {
  CHECK(Fixture().FirstViolation().empty());
}

TEST_CASE("Incorrect responses are reported", "[soak]") {
  Fixture fixture;
  SECTION("with the body of another request") {
    fixture.outcome().has_expected_body = false;
    CHECK(fixture.FirstViolation() == "whole answers");
  }
  SECTION("without a server signature") {
    fixture.outcome().has_signature = false;
    CHECK(fixture.FirstViolation() == "whole answers");
  }
  SECTION("that reject a valid request with 401") {
    fixture.outcome().status = 401;
    CHECK(fixture.FirstViolation() == "denied");
  }
}

TEST_CASE("Invalid runs are reported", "[soak]") {
  Fixture fixture;
  SECTION("second run of a request that must not be repeated") {
    fixture.records.runs.push_back({"a", "large", "b-1", At(70), false});
    CHECK(fixture.FirstViolation() == "once");
    fixture.request().kind = Kind::kIdempotent;
    CHECK(fixture.FirstViolation().empty());
  }
  SECTION("run of a request that was refused as not executed") {
    fixture.outcome().status = GENERATE(429, 503);
    CHECK(fixture.FirstViolation() == "not run");
  }
  SECTION("run of a request that no caller sent") {
    fixture.records.runs.push_back({"z", "large", "b-1", At(70), false});
    CHECK(fixture.FirstViolation() == "unasked");
  }
  SECTION("run for another account") {
    fixture.records.runs[0].account = "small";
    CHECK(fixture.FirstViolation() == "unasked");
  }
}

TEST_CASE("A truncated response without a known cause is reported", "[soak]") {
  Fixture fixture;
  fixture.outcome().is_complete = false;
  CHECK(fixture.FirstViolation() == "nothing cut");
  SECTION("reported during planned maintenance") {
    fixture.Disturb(Disturbance::Component::kGateway,
                    Disturbance::Category::kPlanned);
    CHECK(fixture.FirstViolation() == "nothing cut");
  }
  SECTION("not reported during an unplanned disturbance") {
    fixture.Disturb(Disturbance::Component::kBackend,
                    Disturbance::Category::kUnplanned);
    CHECK(fixture.FirstViolation().empty());
  }
  SECTION("not reported if the backend server broke it off") {
    fixture.records.runs[0].was_broken_off = true;
    CHECK(fixture.FirstViolation().empty());
  }
}

TEST_CASE("A response long after the time limit is reported", "[soak]") {
  Fixture fixture;
  fixture.outcome().ended = At(4100);
  CHECK(fixture.FirstViolation() == "time limit");
  fixture.Disturb(Disturbance::Component::kBackend,
                  Disturbance::Category::kUnplanned);
  CHECK(fixture.FirstViolation() == "time limit");
  fixture.Disturb(Disturbance::Component::kCallerLink,
                  Disturbance::Category::kUnplanned);
  CHECK(fixture.FirstViolation().empty());
}

TEST_CASE("Use beyond the prepaid tokens is reported", "[soak]") {
  Fixture fixture;
  fixture.request().prompt_tokens = 950;
  fixture.outcome().events = 10;
  CHECK(fixture.FirstViolation().empty());
  fixture.outcome().events = 11;
  CHECK(fixture.FirstViolation() == "budget");
}

TEST_CASE("A new run at a draining backend server is reported", "[soak]") {
  Fixture fixture;
  fixture.records.drain_announcements = {{"b-0", At(50 - 3001)}};
  CHECK(fixture.FirstViolation() == "leaving");
  fixture.records.drain_announcements = {{"b-0", At(50 - 2999)}};
  CHECK(fixture.FirstViolation().empty());
}

TEST_CASE("A configuration rollback or late propagation is reported",
          "[soak]") {
  Fixture fixture;
  fixture.records.versions = {{10, At(-20000)}, {13, At(-5000)}};
  fixture.request().key_version = 10;
  CHECK(fixture.FirstViolation() == "configuration");
  fixture.request().key_version = 13;
  CHECK(fixture.FirstViolation().empty());
  fixture.outcome().status = 401;
  fixture.records.runs.clear();
  CHECK(fixture.FirstViolation() == "configuration");
  SECTION("rollback shortly after an update") {
    fixture.outcome().status = 200;
    fixture.records.versions = {{10, At(-20000)}, {13, At(-100)}};
    Exchange later = fixture.records.exchanges[0];
    later.request.key_version = 10;
    later.request.sent = At(400);
    later.outcome.ended = At(450);
    fixture.records.exchanges.push_back(later);
    CHECK(fixture.FirstViolation() == "configuration");
  }
}
