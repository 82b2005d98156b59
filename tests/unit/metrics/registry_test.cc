#include "dandelionmill/metrics/registry.h"

#include <catch2/catch.hpp>

using dandelionmill::metrics::Histogram;
using dandelionmill::metrics::Registry;

TEST_CASE("ToPrometheus writes metrics in the Prometheus text format",
          "[metrics]") {
  Registry registry;
  registry.GetCounter("dandelion_requests_total", "Requests.", "code=\"0\"")
      .Add(2);
  registry.GetGauge("dandelion_running", "Requests running.").Set(7);
  auto& summary = registry.GetSummary("dandelion_wait_ms", "Wait in ms.");
  for (int i = 1; i <= 100; ++i)
    summary.Record(i);
  const std::string text = registry.ToPrometheus();
  CHECK(text.find("# TYPE dandelion_requests_total counter\n"
                  "dandelion_requests_total{code=\"0\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("dandelion_running 7\n") != std::string::npos);
  CHECK(text.find("dandelion_wait_ms_count 100\n") != std::string::npos);
  CHECK(summary.Read().p50 == Approx(50).margin(5));
}

TEST_CASE("Histogram bucket counts are cumulative with inclusive bounds",
          "[metrics]") {
  Registry registry;
  Histogram& histogram =
      registry.GetHistogram("wait_ms", "Waits.", "kind=\"stream\"");
  for (const int ms : {0, 5, 6, 100, 20000})
    histogram.Record(std::chrono::milliseconds(ms));
  const auto buckets = histogram.Read();
  CHECK(buckets.front().upper_bound == 5);
  CHECK(buckets.front().count == 2);
  CHECK(buckets[1].count == 3);
  CHECK(buckets.back().count == 5);
  const std::string page = registry.ToPrometheus();
  CHECK_THAT(page, Catch::Contains("# TYPE wait_ms histogram"));
  CHECK_THAT(page,
             Catch::Contains("wait_ms_bucket{kind=\"stream\",le=\"100\"} 4"));
  CHECK_THAT(page,
             Catch::Contains("wait_ms_bucket{kind=\"stream\",le=\"+Inf\"} 5"));
  CHECK_THAT(page, Catch::Contains("wait_ms_sum{kind=\"stream\"} 20111"));
  CHECK_THAT(page, Catch::Contains("wait_ms_count{kind=\"stream\"} 5"));
}
