#include "dandelionmill/gateway/overload_detector.h"

#include <catch2/catch.hpp>

using dandelionmill::base::MonoTime;
using dandelionmill::gateway::OverloadDetector;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPeriod{250};

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

// Runs the detector for `ms` with `bytes` sent in each period.
void Run(OverloadDetector& detector, int& clock, int ms, std::size_t bytes) {
  for (const int end = clock + ms; clock < end; clock += 250) {
    detector.OnSent(bytes);
    detector.Tick(At(clock), kPeriod);
  }
}

}  // namespace

TEST_CASE("An instance is overloaded while one tenant saturates its link",
          "[gateway][hot_tenant]") {
  OverloadDetector detector(10e6);
  int clock = 0;
  // 10 Mbit/s are 312,500 bytes per period.
  Run(detector, clock, 5000, 100000);
  CHECK_FALSE(detector.is_overloaded());
  Run(detector, clock, 2000, 290000);
  CHECK(detector.is_overloaded());
  SECTION("until utilization has been low for the recovery time") {
    Run(detector, clock, 1000, 50000);
    CHECK(detector.is_overloaded());
    Run(detector, clock, 5000, 50000);
    CHECK_FALSE(detector.is_overloaded());
  }
}

TEST_CASE("Consecutive late ticks on a slow machine indicate overload",
          "[gateway][node_slow]") {
  OverloadDetector detector(0);
  detector.Tick(At(0), kPeriod);
  for (int i = 1; i <= 3; ++i) {
    CHECK_FALSE(detector.is_overloaded());
    detector.Tick(At(400 * i), kPeriod);
  }
  CHECK(detector.is_overloaded());
}

TEST_CASE("A single late tick, as after a freeze, does not indicate overload",
          "[gateway][node_freeze]") {
  OverloadDetector detector(10e6);
  detector.Tick(At(0), kPeriod);
  detector.Tick(At(4000), kPeriod);
  detector.Tick(At(4250), kPeriod);
  CHECK_FALSE(detector.is_overloaded());
}
