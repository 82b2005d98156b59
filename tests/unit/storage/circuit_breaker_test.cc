#include "dandelionmill/storage/circuit_breaker.h"

#include <catch2/catch.hpp>

using dandelionmill::base::MonoTime;
using dandelionmill::storage::CircuitBreaker;
using std::chrono::milliseconds;
using Permit = CircuitBreaker::Permit;

TEST_CASE("A circuit breaker suppresses calls to a failing service",
          "[platform]") {
  CircuitBreaker breaker;
  const MonoTime start = MonoTime() + std::chrono::hours(1);
  const auto fail = [&](int times) {
    for (int i = 0; i < times; ++i) {
      REQUIRE(breaker.TryBegin(start) == Permit::kCall);
      breaker.OnFailure();
    }
  };

  SECTION("fewer consecutive failures than the limit do not open it") {
    fail(CircuitBreaker::kFailuresToOpen - 1);
    REQUIRE(breaker.TryBegin(start) == Permit::kCall);
    breaker.OnSuccess();
    fail(CircuitBreaker::kFailuresToOpen - 1);
    CHECK_FALSE(breaker.IsOpen());
  }
  SECTION("while it is open, only one probe at a time is permitted") {
    fail(CircuitBreaker::kFailuresToOpen);
    REQUIRE(breaker.IsOpen());
    CHECK(breaker.TryBegin(start) == Permit::kProbe);
    CHECK(breaker.TryBegin(start) == Permit::kNone);
    CHECK(breaker.TryBegin(start + CircuitBreaker::kProbePeriod) ==
          Permit::kNone);
    breaker.OnFailure();
    CHECK(breaker.TryBegin(start + milliseconds(1)) == Permit::kNone);
    CHECK(breaker.TryBegin(start + CircuitBreaker::kProbePeriod) ==
          Permit::kProbe);
  }
  SECTION("a successful probe closes it") {
    fail(CircuitBreaker::kFailuresToOpen);
    REQUIRE(breaker.TryBegin(start) == Permit::kProbe);
    breaker.OnSuccess();
    CHECK_FALSE(breaker.IsOpen());
    CHECK(breaker.TryBegin(start) == Permit::kCall);
    CHECK(breaker.TryBegin(start) == Permit::kCall);
  }
  SECTION("a probe without an outcome blocks the next only until its timeout") {
    fail(CircuitBreaker::kFailuresToOpen);
    REQUIRE(breaker.TryBegin(start) == Permit::kProbe);
    CHECK(breaker.TryBegin(start + CircuitBreaker::kProbeTimeout) ==
          Permit::kProbe);
  }
  SECTION("late failures do not shorten the time between probes") {
    fail(CircuitBreaker::kFailuresToOpen);
    REQUIRE(breaker.TryBegin(start) == Permit::kProbe);
    breaker.OnFailure();
    breaker.OnFailure();
    CHECK(breaker.TryBegin(start + milliseconds(1)) == Permit::kNone);
  }
}
