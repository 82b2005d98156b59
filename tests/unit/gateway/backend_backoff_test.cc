#include "dandelionmill/gateway/backend_backoff.h"

#include <catch2/catch.hpp>

namespace base = dandelionmill::base;
using dandelionmill::gateway::BackendBackoff;
using dandelionmill::gateway::BackendEntry;
using dandelionmill::gateway::BackendProcess;
using std::chrono::milliseconds;

namespace {

const base::BackendId kId("engine");

base::MonoTime At(int ms) {
  return base::MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

const base::BootTime kConnectedAt{std::chrono::hours(2)};

// The process behind start 1, which is listed.
const BackendProcess kProcess{1, std::nullopt, kConnectedAt, {}};

// An entry that was listed `after` the connection to kProcess was opened.
BackendEntry Backend(std::int64_t incarnation = 1,
                     milliseconds after = milliseconds(60000)) {
  BackendEntry backend;
  backend.id = kId;
  backend.incarnation = incarnation;
  backend.unlisted_until = kConnectedAt + after;
  return backend;
}

}  // namespace

TEST_CASE("A backend server that asks for a pause gets no requests in it",
          "[gateway]") {
  BackendBackoff backoff(1);
  CHECK(backoff.Admits(Backend(), At(0)));
  backoff.OnPauseRequested(kId, kProcess, milliseconds(1500), At(0));
  CHECK_FALSE(backoff.Admits(Backend(), At(0)));
  CHECK_FALSE(backoff.Admits(Backend(), At(1499)));
  CHECK(backoff.TimeUntilAdmitted(Backend(), At(0)) >= milliseconds(1500));
  // Prolonged by a tenth at most.
  CHECK(backoff.Admits(Backend(), At(1650)));
  SECTION("another start of it has asked for none") {
    CHECK(backoff.Admits(Backend(2), At(0)));
    CHECK(backoff.Admits(Backend(2, milliseconds(2000)), At(0)));
  }
  SECTION("a start that was listed soon after may be the one that asked") {
    CHECK_FALSE(backoff.Admits(Backend(2, milliseconds(1999)), At(0)));
    CHECK_FALSE(backoff.Admits(Backend(2, milliseconds(-60000)), At(0)));
  }
  SECTION("one that has reported its start is known") {
    backoff.OnPauseRequested(kId, {1, 3, kConnectedAt, {}}, milliseconds(1500),
                             At(0));
    CHECK(backoff.Admits(Backend(2, milliseconds(1999)), At(0)));
    CHECK_FALSE(backoff.Admits(Backend(3), At(0)));
    // The entry of the earlier start is still listed in its place.
    CHECK_FALSE(backoff.Admits(Backend(1), At(0)));
  }
  SECTION("a shorter pause does not end a longer one") {
    backoff.OnPauseRequested(kId, kProcess, milliseconds(100), At(10));
    CHECK_FALSE(backoff.Admits(Backend(), At(1499)));
  }
  SECTION("a response to an earlier request does not end it") {
    CHECK_FALSE(backoff.OnAnswered(kId, At(-10)));
    CHECK_FALSE(backoff.Admits(Backend(), At(1499)));
  }
}

TEST_CASE("After a pause a backend server gets more requests step by step",
          "[gateway]") {
  BackendBackoff backoff(1);
  backoff.OnPauseRequested(kId, kProcess, milliseconds(1000), At(0));
  backoff.OnSent(kId, At(1200));
  CHECK_FALSE(backoff.Admits(Backend(), At(1200)));
  SECTION("one whose trial ended without a response is tried again") {
    backoff.OnEnded(kId, At(1200));
    CHECK(backoff.Admits(Backend(), At(1300)));
    backoff.OnSent(kId, At(1300));
    CHECK_FALSE(backoff.Admits(Backend(), At(1300)));
  }
  SECTION("one that answers is used without a limit after a few responses") {
    CHECK_FALSE(backoff.OnAnswered(kId, At(1200)));
    backoff.OnEnded(kId, At(1200));
    for (int in_progress = 0; in_progress < 2; ++in_progress) {
      CHECK(backoff.Admits(Backend(), At(1300)));
      backoff.OnSent(kId, At(1300));
    }
    CHECK_FALSE(backoff.Admits(Backend(), At(1300)));
    CHECK_FALSE(backoff.OnAnswered(kId, At(1300)));
    CHECK_FALSE(backoff.OnAnswered(kId, At(1300)));
    CHECK(backoff.OnAnswered(kId, At(1300)));
    CHECK(backoff.empty());
  }
  SECTION("one that asks for another pause gets it") {
    backoff.OnPauseRequested(kId, kProcess, milliseconds(1000), At(1210));
    backoff.OnEnded(kId, At(1200));
    CHECK_FALSE(backoff.Admits(Backend(), At(2209)));
    CHECK(backoff.Admits(Backend(), At(2400)));
    backoff.OnSent(kId, At(2400));
    CHECK_FALSE(backoff.Admits(Backend(), At(2400)));
  }
}
