#include "dandelionmill/scheduling/link_admission.h"

#include <catch2/catch.hpp>

namespace dandelionmill::scheduling {
namespace {

using std::chrono::milliseconds;

constexpr double kHalfLoad = 0.5;
constexpr double kFullLoad = 1.0;
constexpr double kTwiceTheLoad = 2.0;

// Guards against callers that are refused twice: a retry that is refused as
// well is lost to them.
TEST_CASE("A caller that has returned stays where a fresh one is redirected") {
  for (const double load : {0.9, kFullLoad, 1.25, kTwiceTheLoad}) {
    CHECK(RedirectShare(load, CallerHistory::kFresh) > 0);
    CHECK(RedirectShare(load, CallerHistory::kReturned) == 0);
  }
}

TEST_CASE("Nothing is redirected while the link has room") {
  for (const CallerHistory history :
       {CallerHistory::kFresh, CallerHistory::kReturned,
        CallerHistory::kUnknown})
    CHECK(RedirectShare(kHalfLoad, history) == 0);
}

// Guards against an estimate that cannot recover, since no request shows it.
TEST_CASE("Some requests are admitted at any load") {
  CHECK(RedirectShare(100, CallerHistory::kFresh) < 1);
  CHECK(RedirectShare(100, CallerHistory::kReturned) < 1);
  CHECK(RedirectShare(100, CallerHistory::kUnknown) < 1);
}

TEST_CASE("The time that a caller has left shows whether it has returned") {
  CHECK(HistoryOf(milliseconds(3000), milliseconds(3000)) ==
        CallerHistory::kFresh);
  CHECK(HistoryOf(milliseconds(3000), milliseconds(2970)) ==
        CallerHistory::kReturned);
  // Callers may wait for longer than the route allows.
  CHECK(HistoryOf(milliseconds(1500), milliseconds(2970)) ==
        CallerHistory::kUnknown);
}

}  // namespace
}  // namespace dandelionmill::scheduling
