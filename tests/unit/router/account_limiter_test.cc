#include "dandelionmill/router/account_limiter.h"

#include <catch2/catch.hpp>

using dandelionmill::base::AccountId;
using dandelionmill::base::MonoTime;
using dandelionmill::inventory::AccountLimits;
using dandelionmill::router::AccountLimiter;
using std::chrono::milliseconds;

TEST_CASE("AccountLimiter enforces the limits of a client account",
          "[router]") {
  AccountLimiter limiter;
  const AccountId account("pigments");
  const AccountId other("assay");
  MonoTime now{std::chrono::hours(1)};

  SECTION("without limits every request is admitted") {
    for (int i = 0; i < 1000; ++i)
      CHECK_FALSE(limiter.Admit(account, {}, 1, now));
  }

  SECTION(
      "a rate limit admits a one-second burst, then returns the retry delay") {
    const AccountLimits limits{10, 0};
    for (int i = 0; i < 10; ++i)
      CHECK_FALSE(limiter.Admit(account, limits, 1, now));
    const auto pause = limiter.Admit(account, limits, 1, now);
    REQUIRE(pause);
    CHECK(*pause == milliseconds(100));
    CHECK_FALSE(limiter.Admit(other, limits, 1, now));
    CHECK_FALSE(limiter.Admit(account, limits, 1, now + *pause));
  }

  SECTION("the rate limit is divided among the routers of a zone") {
    const AccountLimits limits{10, 0};
    int admitted = 0;
    for (int i = 0; i < 10; ++i)
      admitted += limiter.Admit(account, limits, 5, now) ? 0 : 1;
    CHECK(admitted == 2);
  }

  SECTION("a connection limit bounds the number of concurrent requests") {
    const AccountLimits limits{0, 2};
    CHECK_FALSE(limiter.Admit(account, limits, 1, now));
    CHECK_FALSE(limiter.Admit(account, limits, 1, now));
    CHECK(limiter.Admit(account, limits, 1, now));
    limiter.Release(account);
    CHECK_FALSE(limiter.Admit(account, limits, 1, now));
  }

  SECTION(
      "idle accounts are removed, accounts with running requests are kept") {
    limiter.Admit(account, {10, 0}, 1, now);
    limiter.Admit(other, {10, 0}, 1, now);
    limiter.Release(other);
    limiter.RemoveIdle(now + std::chrono::minutes(5));
    CHECK(limiter.accounts() == 1);
  }
}
