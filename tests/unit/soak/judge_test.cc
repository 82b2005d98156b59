#include "tests/soak/judge.h"

#include <catch2/catch.hpp>

using namespace soak;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

Time At(int ms) {
  return Time(std::chrono::hours(1)) + milliseconds(ms);
}

// One request that was served whole by one run.
struct Fixture {
  Records records;

  Fixture() {
    Exchanged exchanged;
    exchanged.ask = {"a",   Kind::kUnsafe,      "large", 0, 1,
                     At(0), milliseconds(3000), 0,       0};
    exchanged.outcome = {At(100), 200, true, true, true, 0};
    records.exchanges = {exchanged};
    records.runs = {{"a", "large", "b-0", At(50), false}};
    records.prepaid = {{"large", 1000}};
  }
  Ask& ask() { return records.exchanges[0].ask; }
  Outcome& outcome() { return records.exchanges[0].outcome; }
  std::string Broken() const {
    const auto breaches = Judge(records, Bounds());
    return breaches.empty() ? "" : breaches[0].promise;
  }
  void Disturb(Disturbance::On on, Disturbance::Sort sort) {
    records.disturbances.push_back({on, sort, 0, "x", At(40), At(60)});
  }
};

}  // namespace

TEST_CASE("A request that is served whole breaks no promise", "[soak]") {
  CHECK(Fixture().Broken().empty());
}

TEST_CASE("Wrong answers are noticed", "[soak]") {
  Fixture fixture;
  SECTION("of another request") {
    fixture.outcome().is_own_answer = false;
    CHECK(fixture.Broken() == "whole answers");
  }
  SECTION("without a receipt") {
    fixture.outcome().has_receipt = false;
    CHECK(fixture.Broken() == "whole answers");
  }
  SECTION("that deny a proper request") {
    fixture.outcome().status = 401;
    CHECK(fixture.Broken() == "denied");
  }
}

TEST_CASE("Wrong runs are noticed", "[soak]") {
  Fixture fixture;
  SECTION("twice, of a request that must not be repeated") {
    fixture.records.runs.push_back({"a", "large", "b-1", At(70), false});
    CHECK(fixture.Broken() == "once");
    fixture.ask().kind = Kind::kIdempotent;
    CHECK(fixture.Broken().empty());
  }
  SECTION("of a request that was refused as not run") {
    fixture.outcome().status = GENERATE(429, 503);
    CHECK(fixture.Broken() == "not run");
  }
  SECTION("of a request that nobody sent") {
    fixture.records.runs.push_back({"z", "large", "b-1", At(70), false});
    CHECK(fixture.Broken() == "unasked");
  }
  SECTION("for another account") {
    fixture.records.runs[0].account = "small";
    CHECK(fixture.Broken() == "unasked");
  }
}

TEST_CASE("An answer that is cut without cause is noticed", "[soak]") {
  Fixture fixture;
  fixture.outcome().is_complete = false;
  CHECK(fixture.Broken() == "nothing cut");
  SECTION("also around planned work") {
    fixture.Disturb(Disturbance::On::kGateway, Disturbance::Sort::kPlanned);
    CHECK(fixture.Broken() == "nothing cut");
  }
  SECTION("not when something else was wrong") {
    fixture.Disturb(Disturbance::On::kBackend, Disturbance::Sort::kUnplanned);
    CHECK(fixture.Broken().empty());
  }
  SECTION("not when its backend server broke it off") {
    fixture.records.runs[0].broke_off = true;
    CHECK(fixture.Broken().empty());
  }
}

TEST_CASE("An answer long after the time limit is noticed", "[soak]") {
  Fixture fixture;
  fixture.outcome().ended = At(4100);
  CHECK(fixture.Broken() == "time limit");
  fixture.Disturb(Disturbance::On::kBackend, Disturbance::Sort::kUnplanned);
  CHECK(fixture.Broken() == "time limit");
  fixture.Disturb(Disturbance::On::kCallerLink, Disturbance::Sort::kUnplanned);
  CHECK(fixture.Broken().empty());
}

TEST_CASE("Spending over the prepaid tokens is noticed", "[soak]") {
  Fixture fixture;
  fixture.ask().prompt_tokens = 950;
  fixture.outcome().events = 10;
  CHECK(fixture.Broken().empty());
  fixture.outcome().events = 11;
  CHECK(fixture.Broken() == "budget");
}

TEST_CASE("New work at a backend server that leaves is noticed", "[soak]") {
  Fixture fixture;
  fixture.records.leavings = {{"b-0", At(50 - 3001)}};
  CHECK(fixture.Broken() == "leaving");
  fixture.records.leavings = {{"b-0", At(50 - 2999)}};
  CHECK(fixture.Broken().empty());
}

TEST_CASE("A configuration that goes back or does not come is noticed",
          "[soak]") {
  Fixture fixture;
  fixture.records.versions = {{10, At(-20000)}, {13, At(-5000)}};
  fixture.ask().key_version = 10;
  CHECK(fixture.Broken() == "configuration");
  fixture.ask().key_version = 13;
  CHECK(fixture.Broken().empty());
  fixture.outcome().status = 401;
  fixture.records.runs.clear();
  CHECK(fixture.Broken() == "configuration");
  SECTION("going back at once") {
    fixture.outcome().status = 200;
    fixture.records.versions = {{10, At(-20000)}, {13, At(-100)}};
    Exchanged later = fixture.records.exchanges[0];
    later.ask.key_version = 10;
    later.ask.sent = At(400);
    later.outcome.ended = At(450);
    fixture.records.exchanges.push_back(later);
    CHECK(fixture.Broken() == "configuration");
  }
}
