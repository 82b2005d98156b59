#include "dandelionmill/routing/health.h"

#include <catch2/catch.hpp>

#include "dandelionmill/routing/pool.h"
#include "tests/unit/routing/dispatcher_fixture.h"

using namespace routing_test;  // NOLINT(google-build-using-namespace)
using routing::BackendState;
using routing::Health;
using routing::Pool;

namespace {

Pool PoolOf(int backends) {
  std::vector<inventory::Backend> specs;
  for (int i = 0; i < backends; ++i)
    specs.push_back(BackendIn("b" + std::to_string(i), "n1", 8));
  Pool pool;
  pool.Configure(*SnapshotOf(CoreWith(specs)), base::ServiceId("assay"),
                 base::ZoneId("n1"), At(milliseconds(0)));
  return pool;
}

BackendState& Member(Pool& pool, int number) {
  return *pool.Find(base::BackendId("b" + std::to_string(number)));
}

}  // namespace

TEST_CASE("A failing backend server is ejected", "[routing]") {
  Health health;
  SECTION("immediately if it is down") {
    health.OnFailure(true, At(milliseconds(0)));
  }
  SECTION("after consecutive failures otherwise") {
    for (int i = 0; i < Health::kFailuresToEject; ++i) {
      CHECK_FALSE(health.IsEjected());
      health.OnFailure(false, At(milliseconds(0)));
    }
  }
  SECTION("after consecutive failed load reports") {
    for (int i = 0; i < Health::kFailedReportsToEject; ++i)
      health.OnReportFailed(At(milliseconds(0)));
    CHECK_FALSE(health.IsProbeDue(At(seconds(2))));
    health.OnReport(At(milliseconds(1)));
  }
  CHECK(health.IsEjected());
  CHECK_FALSE(health.IsProbeDue(At(milliseconds(999))));
  CHECK(health.IsProbeDue(At(milliseconds(1001))));
}

TEST_CASE("An ejected backend server is probed with one request", "[routing]") {
  Health health;
  health.OnFailure(true, At(milliseconds(0)));
  REQUIRE(health.IsProbeDue(At(milliseconds(1001))));

  health.OnProbeSent();
  CHECK_FALSE(health.IsProbeDue(At(milliseconds(1001))));
  SECTION("a failed probe ejects it for longer") {
    health.OnFailure(false, At(milliseconds(1100)));
    CHECK_FALSE(health.IsProbeDue(At(milliseconds(3000))));
    CHECK(health.IsProbeDue(At(milliseconds(3200))));
  }
  SECTION("a successful probe readmits it with a slow start") {
    health.OnSuccess(At(milliseconds(1100)));
    CHECK_FALSE(health.IsEjected());
    CHECK(health.AllowedSlots(8, At(milliseconds(1100))) == 1);
    CHECK(health.AllowedSlots(8, At(milliseconds(6100))) == 4);
    CHECK(health.AllowedSlots(8, At(milliseconds(11100))) == 8);
  }
}

TEST_CASE("A backend server far slower than its peers is ejected",
          "[routing]") {
  Pool pool = PoolOf(4);
  for (int sample = 0; sample < 20; ++sample) {
    for (int i = 0; i < 4; ++i)
      Member(pool, i).health.first_event.Add(i == 2 ? seconds(1)
                                                    : milliseconds(100));
  }
  pool.EjectSlowBackends(At(milliseconds(0)));
  CHECK(Member(pool, 2).health.IsEjectedAsSlow());
  CHECK_FALSE(Member(pool, 1).health.IsEjected());

  SECTION("a probe request readmits it, a load report does not") {
    Member(pool, 2).health.OnReport(At(seconds(5)));
    CHECK(Member(pool, 2).health.IsEjected());
    Member(pool, 2).health.OnProbeSent();
    Member(pool, 2).health.OnSuccess(At(seconds(5)));
    CHECK_FALSE(Member(pool, 2).health.IsEjected());
  }
  SECTION("at most a quarter of the pool is ejected as slow") {
    for (int sample = 0; sample < 20; ++sample)
      Member(pool, 3).health.first_event.Add(seconds(2));
    pool.EjectSlowBackends(At(seconds(1)));
    CHECK_FALSE(Member(pool, 3).health.IsEjected());
  }
}
