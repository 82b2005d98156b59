#include "dandelionmill/routing/load_estimate.h"

#include <catch2/catch.hpp>

#include "tests/unit/routing/dispatcher_fixture.h"

using namespace routing_test;  // NOLINT(google-build-using-namespace)
using routing::LoadEstimate;
using routing::LoadReport;

TEST_CASE(
    "A delayed report is corrected by requests sent since the measurement",
    "[routing]") {
  LoadEstimate load;
  load.OnSent(At(milliseconds(100)));
  load.OnSent(At(milliseconds(300)));
  LoadReport report;
  report.running = 4;
  report.waiting = 1;
  report.measured_at = At(milliseconds(200));
  load.OnReport(report, At(milliseconds(400)));

  // One of the five is a request of this router, sent before the measurement.
  // Its second request was sent later.
  CHECK(load.Others(At(milliseconds(400))) == 4);
  CHECK(load.Total(At(milliseconds(400))) == 6);
  load.OnEnded(At(milliseconds(500)));
  CHECK(load.Total(At(milliseconds(500))) == 5);

  SECTION("a report measured before the latest one is ignored") {
    report.running = 0;
    report.measured_at = At(milliseconds(150));
    load.OnReport(report, At(milliseconds(600)));
    CHECK(load.Others(At(milliseconds(600))) == 4);
  }
  SECTION("an expired report no longer counts for other routers") {
    CHECK(load.Total(At(seconds(10))) == 1);
  }
}
