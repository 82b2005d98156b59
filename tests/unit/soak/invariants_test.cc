#include "tests/soak/invariants.h"

#include <catch2/catch.hpp>

#include "tests/soak/soak.h"

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

TEST_CASE("A stream that ends as complete before its last event is reported",
          "[soak]") {
  Fixture fixture;
  fixture.request().kind =
      GENERATE(Kind::kResumableStream, Kind::kSingleStream);
  fixture.outcome().events = 19;
  fixture.outcome().has_expected_body = false;
  CHECK(fixture.FirstViolation() == "stream end");
  SECTION("during any disturbance") {
    fixture.Disturb(Disturbance::Component::kGateway,
                    Disturbance::Category::kUnplanned);
    CHECK(fixture.FirstViolation() == "stream end");
  }
  SECTION("not if it does not look complete") {
    fixture.outcome().is_complete = false;
    fixture.records.runs[0].was_broken_off = true;
    CHECK(fixture.FirstViolation().empty());
  }
}

TEST_CASE("A stream whose events are not in order is reported, complete or not",
          "[soak]") {
  Fixture fixture;
  fixture.request().kind = Kind::kSingleStream;
  fixture.outcome().is_in_order = false;
  fixture.outcome().has_expected_body = false;
  fixture.records.runs[0].was_broken_off = true;
  CHECK(fixture.FirstViolation() == "stream events");
  fixture.outcome().is_complete = false;
  CHECK(fixture.FirstViolation() == "stream events");
}

namespace {

// Three streams that ran at server b-0, which was gone for a while.
struct StreamsFixture : Fixture {
  StreamsFixture() {
    request().kind = Kind::kResumableStream;
    outcome().versions = {"v1"};
    for (const char* id : {"b", "c"}) {
      records.exchanges.push_back(records.exchanges[0]);
      records.exchanges.back().request.id = id;
      records.runs.push_back({id, "large", "b-0", At(50), false});
    }
    records.absences = {{"b-0", At(-1000), At(-500)}};
  }
  void JoinFirst(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      records.exchanges[i].outcome.versions = {"v1", "v2"};
  }
};

}  // namespace

TEST_CASE("More than two streams with events of two versions are reported",
          "[soak]") {
  StreamsFixture fixture;
  CHECK(fixture.FirstViolation().empty());
  fixture.JoinFirst(2);
  CHECK(fixture.FirstViolation().empty());
  fixture.JoinFirst(3);
  CHECK(fixture.FirstViolation() == "one version");
  SECTION("at a gateway that is disturbed too") {
    fixture.Disturb(Disturbance::Component::kStore,
                    Disturbance::Category::kUnplanned);
    CHECK(fixture.FirstViolation() == "one version");
  }
}

TEST_CASE("One stream with two versions is reported if no server came back",
          "[soak]") {
  StreamsFixture fixture;
  fixture.JoinFirst(1);
  fixture.records.absences[0].backend = "b-1";
  CHECK(fixture.FirstViolation() == "one version");
}

TEST_CASE("A stream counts once over its caller's tries", "[soak]") {
  StreamsFixture fixture;
  // "b" and "c" take up the stream that "a" began.
  for (std::size_t i = 1; i < 3; ++i) {
    fixture.records.exchanges[i].request.resumes = "a";
    fixture.records.exchanges[i].outcome.versions = {"v2"};
  }
  CHECK(FindJoinedStreams(fixture.records) == std::vector<std::string>{"a"});
  CHECK(fixture.FirstViolation().empty());
  fixture.records.absences.clear();
  CHECK(fixture.FirstViolation() == "one version");
}

TEST_CASE("A stream whose caller hangs up is not reported as cut", "[soak]") {
  Fixture fixture;
  fixture.request().kind = Kind::kResumableStream;
  fixture.outcome().is_complete = false;
  fixture.outcome().has_expected_body = false;
  CHECK(fixture.FirstViolation() == "nothing cut");
  fixture.request().hangs_up = true;
  CHECK(fixture.FirstViolation().empty());
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
  SECTION("until it starts again") {
    fixture.records.drain_announcements = {{"b-0", At(50 - 3001), At(51)}};
    CHECK(fixture.FirstViolation() == "leaving");
    fixture.records.drain_announcements[0].ended = At(50);
    CHECK(fixture.FirstViolation().empty());
  }
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

namespace {

// A request for the route that version 13 added and version 19 removed, sent at
// 0 ms to a gateway that lost the store until -12000 ms.
struct RouteFixture : Fixture {
  RouteFixture() {
    request().route_from = 13;
    request().route_until = 19;
    records.versions = {{10, At(-30000)}, {13, At(-11000)}};
    Lose(-12000);
  }
  // The store cannot be reached for 2 s until `until_ms`.
  void Lose(int until_ms,
            Disturbance::Component component = Disturbance::Component::kStore) {
    records.disturbances = {{component, Disturbance::Category::kUnplanned, 0,
                             "x", At(until_ms - 2000), At(until_ms)}};
  }
  void Refuse() {
    outcome().status = 404;
    records.runs.clear();
  }
};

}  // namespace

TEST_CASE("A route of the version in force that is refused is reported",
          "[soak]") {
  RouteFixture fixture;
  CHECK(fixture.FirstViolation().empty());
  fixture.Refuse();
  CHECK(fixture.FirstViolation() == "catch up");
  SECTION("with later versions that have the route too") {
    fixture.records.versions.push_back({16, At(-100)});
    CHECK(fixture.FirstViolation() == "catch up");
  }
  SECTION("not reported once a version without it is stored") {
    fixture.records.versions.push_back({19, At(50)});
    CHECK(fixture.FirstViolation().empty());
  }
  SECTION("not reported within the bound for a change") {
    fixture.records.versions[1].stored = At(-3999);
    CHECK(fixture.FirstViolation().empty());
  }
  SECTION("reported after the bound for a change") {
    fixture.records.versions[1].stored = At(-4001);
    CHECK(fixture.FirstViolation() == "catch up");
  }
  SECTION("not reported within the bounds after the store's return") {
    fixture.Lose(-9999);
    CHECK(fixture.FirstViolation().empty());
  }
  SECTION("reported if the store could be reached") {
    fixture.Lose(-5000, Disturbance::Component::kStoreData);
    CHECK(fixture.FirstViolation() == "catch up");
  }
  SECTION("reported for another gateway's loss of the store") {
    fixture.Lose(-5000);
    fixture.records.disturbances[0].target = 1;
    CHECK(fixture.FirstViolation() == "catch up");
  }
  SECTION("not reported shortly after a restart") {
    fixture.request().boot = 2;
    CHECK(fixture.FirstViolation().empty());
    Exchange earlier = fixture.records.exchanges[0];
    earlier.request.sent = At(-10001);
    earlier.outcome.ended = At(-9950);
    earlier.request.route_from = 0;
    earlier.outcome.status = 200;
    fixture.records.exchanges.push_back(earlier);
    CHECK(fixture.FirstViolation() == "catch up");
  }
  SECTION("with another refusal, at any time") {
    fixture.Lose(-1);
    fixture.outcome().status = GENERATE(400, 401, 403);
    CHECK(fixture.FirstViolation() == "denied");
  }
}

TEST_CASE("A route that the version in force has removed is reported",
          "[soak]") {
  RouteFixture fixture;
  fixture.records.versions.push_back({19, At(-4001)});
  CHECK(fixture.FirstViolation() == "catch up");
  fixture.records.versions.back().stored = At(-3999);
  CHECK(fixture.FirstViolation().empty());
}

TEST_CASE("A key of the version in force that is refused is reported",
          "[soak]") {
  RouteFixture fixture;
  fixture.request().route_from = 0;
  fixture.request().key_version = 13;
  fixture.records.versions[1].stored = At(-4001);
  fixture.Lose(-10001);
  fixture.outcome().status = 401;
  fixture.records.runs.clear();
  const auto violations = CheckInvariants(fixture.records, Bounds());
  REQUIRE_FALSE(violations.empty());
  CHECK(violations.back().invariant == "catch up");
}

TEST_CASE("A route that shows a rollback is reported", "[soak]") {
  RouteFixture fixture;
  fixture.Lose(-1);
  Exchange later = fixture.records.exchanges[0];
  later.request.sent = At(400);
  later.outcome.ended = At(450);
  SECTION("refused after it was served") {
    later.outcome.status = 404;
    fixture.records.exchanges.push_back(later);
    CHECK(fixture.FirstViolation() == "configuration");
    fixture.records.exchanges[1].request.boot = 2;
    CHECK(fixture.FirstViolation().empty());
  }
  SECTION("served after a version without it") {
    fixture.records.versions.push_back({19, At(-100)});
    fixture.request().route_from = 19;
    fixture.request().route_until = 25;
    fixture.records.exchanges.push_back(later);
    CHECK(fixture.FirstViolation() == "configuration");
  }
}

TEST_CASE("A late request for a server that said it leaves is reported",
          "[soak]") {
  Fixture fixture;
  fixture.records.leaving_periods = {{"b-0", At(-1000), At(9000)}};
  fixture.records.exchanges.push_back(fixture.records.exchanges[0]);
  Exchange& later = fixture.records.exchanges.back();
  later.request.id = "b";
  later.request.sent = At(2500);
  later.outcome.ended = At(2900);
  fixture.records.runs.push_back({"b", "large", "b-0", At(2850), false});
  CHECK(fixture.FirstViolation().empty());
  later.request.sent = At(2800);
  CHECK(fixture.FirstViolation() == "leaving");
  SECTION("not at another process of the gateway") {
    later.request.boot = 2;
    CHECK(fixture.FirstViolation().empty());
  }
}

TEST_CASE("A gateway whose callers are refused in a partition is reported",
          "[soak]") {
  Fixture fixture;
  fixture.records.runs.clear();
  fixture.records.exchanges.clear();
  fixture.records.partitions = {{0, At(0), At(7000)}};
  for (int i = 0; i < 40; ++i) {
    Exchange exchange;
    exchange.request = {
        std::to_string(i), Kind::kIdempotent,  "large", i % 2, 1,
        At(3100 + i),      milliseconds(3000), 0,       0};
    exchange.outcome = {At(3200 + i), 503, true, false, true, 0};
    fixture.records.exchanges.push_back(exchange);
  }
  // Nobody is served anywhere.
  CHECK(fixture.FirstViolation().empty());
  for (Exchange& exchange : fixture.records.exchanges) {
    if (exchange.request.gateway == 1) {
      exchange.outcome.status = 200;
      exchange.outcome.has_signature = true;
      exchange.outcome.has_expected_body = true;
      fixture.records.runs.push_back(
          {exchange.request.id, "large", "b-0", exchange.request.sent, false});
    }
  }
  CHECK(fixture.FirstViolation() == "partition");
  SECTION("not before it must have noticed") {
    fixture.records.partitions[0].from = At(150);
    CHECK(fixture.FirstViolation().empty());
  }
  SECTION("not while another fault acts on a gateway") {
    fixture.records.disturbances.push_back({Disturbance::Component::kGateway,
                                            Disturbance::Category::kUnplanned,
                                            1, "kill", At(2000), At(2500)});
    CHECK(fixture.FirstViolation().empty());
  }
}

TEST_CASE("More than two requests in a server's pause are reported", "[soak]") {
  Fixture fixture;
  fixture.records.runs.clear();
  fixture.records.exchanges.clear();
  fixture.records.paused_periods = {{"b-0", At(0), At(3000)}};
  for (const int sent : {10, 20, 400, 700, 900}) {
    Exchange exchange;
    exchange.request = {std::to_string(sent),
                        Kind::kIdempotent,
                        "large",
                        0,
                        1,
                        At(sent),
                        milliseconds(3000),
                        0,
                        0};
    exchange.outcome = {At(sent + 20), 503, true, false, true, 0};
    fixture.records.exchanges.push_back(exchange);
    fixture.records.turned_away.push_back(
        {std::to_string(sent), "large", "b-0", At(sent + 5), false});
  }
  CHECK(fixture.FirstViolation().empty());
  fixture.records.turned_away[2].started = At(600);
  CHECK(fixture.FirstViolation() == "pause");
}

TEST_CASE("A violation names the build of the process that it was seen at",
          "[soak]") {
  Fixture fixture;
  fixture.request().kind = Kind::kSingleStream;
  fixture.outcome().has_expected_body = false;
  std::set<std::string> known = {"stream end", "one version"};
  const auto attribution = [&fixture, &known] {
    return AttributeToBuild(CheckInvariants(fixture.records, Bounds()).at(0),
                            known);
  };
  CHECK(attribution().empty());
  fixture.records.builds = {{{0, 1}, Build::kOld}};
  CHECK(attribution() ==
        " [at the old build only, may be its known fault: cut streams end as "
        "complete]");
  known = {"one version"};
  CHECK(attribution() == " [at the old build only, not a known fault of it]");
  known = {"stream end"};
  fixture.records.builds = {{{0, 1}, Build::kNew}, {{0, 2}, Build::kOld}};
  CHECK(attribution().empty());
  fixture.records.builds = {{{0, 1}, Build::kOld}};
  fixture.outcome().status = 401;
  CHECK(attribution() == " [at the old build only, not a known fault of it]");
}
