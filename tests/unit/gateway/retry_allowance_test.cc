#include "dandelionmill/gateway/retry_allowance.h"

#include <catch2/catch.hpp>

using dandelionmill::base::MonoTime;
using dandelionmill::gateway::RetryAllowance;
using std::chrono::milliseconds;

namespace {

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

int TakeAll(RetryAllowance& allowance, int instances, int ms) {
  int taken = 0;
  while (allowance.TryTake(instances, At(ms)))
    ++taken;
  return taken;
}

}  // namespace

TEST_CASE("All instances together stay within the fleet's retry limit",
          "[gateway]") {
  const RetryAllowance::Limits limits{0.2, 56, milliseconds(10000)};
  const int instances = 8;
  int taken = 0;
  for (int i = 0; i < instances; ++i) {
    RetryAllowance allowance(limits);
    for (int request = 0; request < 100; ++request)
      allowance.OnRequest(At(request * 100));
    taken += TakeAll(allowance, instances, 9999);
  }
  // 20% of 800 requests plus the fixed reserve of 56.
  CHECK(taken <= 0.2 * 800 + 56);
  CHECK(taken >= 0.7 * (0.2 * 800 + 56));
}

TEST_CASE("Extra attempts are available again after the window has passed",
          "[gateway]") {
  RetryAllowance allowance({0, 40, milliseconds(10000)});
  const int first = TakeAll(allowance, 1, 0);
  REQUIRE(first > 0);
  CHECK(TakeAll(allowance, 1, 9000) == 0);
  CHECK(allowance.TakenWithin(At(9000)) == first);
  CHECK(TakeAll(allowance, 1, 11001) == first);
}
