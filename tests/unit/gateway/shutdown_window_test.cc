#include "dandelionmill/gateway/shutdown_window.h"

#include <catch2/catch.hpp>

using dandelionmill::base::MonoTime;
using dandelionmill::gateway::ShutdownWindow;
using std::chrono::milliseconds;

namespace {

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

}  // namespace

TEST_CASE("An instance that stays takes every request", "[gateway]") {
  const ShutdownWindow window;
  CHECK(window.Admits(At(0), At(3600000)));
}

TEST_CASE(
    "A request that comes late in a shutdown is refused unless it ends in time",
    "[gateway]") {
  const ShutdownWindow window{At(2800), At(7000)};
  SECTION("callers may not know yet that the instance leaves") {
    CHECK(window.Admits(At(2800), At(12800)));
  }
  SECTION("an answer would be cut") {
    CHECK_FALSE(window.Admits(At(2801), At(7001)));
  }
  SECTION("the answer ends before the process") {
    CHECK(window.Admits(At(3300), At(7000)));
  }
}
