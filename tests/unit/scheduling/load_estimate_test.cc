#include "dandelionmill/scheduling/load_estimate.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <utility>
#include <vector>

using dandelionmill::base::MonoTime;
using dandelionmill::scheduling::FleetLoad;
using dandelionmill::scheduling::LoadEstimate;
using dandelionmill::scheduling::LoadEstimateOptions;
using dandelionmill::scheduling::LoadReport;
using dandelionmill::scheduling::TrustedLoad;
using std::chrono::milliseconds;

namespace {

constexpr int kSlots = 24;

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

LoadReport Report(int running, int waiting = 0, double work_time = 1) {
  LoadReport report;
  report.running = running;
  report.waiting = waiting;
  report.slots = kSlots;
  report.work_time = work_time;
  return report;
}

// One backend server as one instance sees it.
struct Fixture {
  LoadEstimateOptions options;
  FleetLoad fleet;
  LoadEstimate server;

  void Receive(const LoadReport& report, int ms, int own = 0) {
    server.OnReport(report, own, options, fleet, At(ms));
  }
  TrustedLoad Trusted(int ms, const LoadEstimate& of) const {
    return of.Compute(options, fleet, kSlots, At(ms));
  }
  TrustedLoad Trusted(int ms) const { return Trusted(ms, server); }

  // Reports of other servers of the service, which set the mean.
  void ReceiveFromOthers(int running, int ms) {
    for (int i = 0; i < 200; ++i) {
      LoadEstimate other;
      other.OnReport(Report(running), 0, options, fleet, At(ms));
    }
  }
};

}  // namespace

// Guards against a server that was full once being avoided long after.
TEST_CASE("A report loses its weight with age in favour of the fleet's mean",
          "[scheduling][load]") {
  Fixture fixture;
  fixture.ReceiveFromOthers(6, 0);
  fixture.Receive(Report(kSlots, 10), 0);
  const double mean = kSlots * fixture.fleet.others_per_slot();
  double previous = fixture.Trusted(0).others;
  CHECK(previous > mean + 4);
  for (const int ms : {1000, 5000, 20000, 60000, 600000}) {
    INFO(ms);
    const TrustedLoad load = fixture.Trusted(ms);
    CHECK(load.others < previous);
    CHECK(load.others >= mean);
    CHECK(load.waiting < 10);
    previous = load.others;
  }
  CHECK(previous == Approx(mean).margin(0.1));
  CHECK(fixture.Trusted(600000).waiting == Approx(0).margin(0.1));
}

// Guards against trust in one report, which all instances that received it
// share: they would all choose the server that was idle when it was written.
TEST_CASE("The weight of any number of reports is bounded",
          "[scheduling][load][herding]") {
  Fixture fixture;
  fixture.ReceiveFromOthers(18, 0);
  fixture.Receive(Report(0), 0);
  // After one report most of the mean remains.
  CHECK(fixture.Trusted(0).others > 0.45 * 18);
  for (int ms = 10; ms < 1000; ms += 10) {
    fixture.ReceiveFromOthers(18, ms);
    fixture.Receive(Report(0), ms);
  }
  const double mean = kSlots * fixture.fleet.others_per_slot();
  CHECK(fixture.Trusted(1000).others >=
        Approx((1 - fixture.options.max_load_weight) * mean).margin(0.2));
}

// Guards against herding onto the server that an instance has not heard: 0
// requests would be assumed at it while all others are known to be busy.
TEST_CASE("A server without reports is assumed to have the mean load",
          "[scheduling][load][herding]") {
  Fixture fixture;
  CHECK(fixture.Trusted(0).others == 0);
  CHECK_FALSE(fixture.server.has_report());
  fixture.ReceiveFromOthers(18, 0);
  const TrustedLoad load = fixture.Trusted(0);
  CHECK(load.others == Approx(18));
  CHECK(load.work_time == 1);
  CHECK(load.slots == kSlots);
}

// Guards against servers that look idle after a wave only since their reports
// are from before it.
TEST_CASE(
    "The load assumed of a server follows the fleet's mean between its "
    "reports",
    "[scheduling][load]") {
  Fixture fixture;
  fixture.ReceiveFromOthers(6, 0);
  fixture.Receive(Report(12), 0);
  const double before = fixture.Trusted(0).others;
  fixture.ReceiveFromOthers(18, 4000);
  CHECK(fixture.Trusted(4000).others > before + 8);
}

// Guards against requests of this instance that are counted twice, or that are
// subtracted from a report written before they had arrived.
TEST_CASE("Own requests are subtracted if the report can include them",
          "[scheduling][load]") {
  Fixture fixture;
  SECTION("three that had arrived long before it") {
    for (int i = 0; i < 3; ++i)
      fixture.server.OnSent(At(0));
    fixture.Receive(Report(3), 500, 3);
    CHECK(fixture.Trusted(500).others == Approx(0).margin(0.01));
  }
  SECTION("one of three was sent while the report was on its way") {
    fixture.server.OnSent(At(0));
    fixture.server.OnSent(At(0));
    fixture.server.OnSent(At(495));
    fixture.Receive(Report(12), 500, 3);
    CHECK(fixture.fleet.others_per_slot() == Approx(10.0 / kSlots));
  }
  SECTION("fewer are reported than this instance has sent") {
    for (int i = 0; i < 4; ++i)
      fixture.server.OnSent(At(0));
    fixture.Receive(Report(1), 500, 4);
    CHECK(fixture.Trusted(500).others == 0);
  }
}

// Guards against decisions by momentary speeds: a server of usual speed would
// be avoided, and a slow one be preferred, for the noise of one report.
TEST_CASE("The work time shows which machine is slow over time",
          "[scheduling][load]") {
  Fixture fixture;
  LoadEstimate usual;
  LoadEstimate slow;
  std::mt19937 random(5);
  std::lognormal_distribution<double> noise(-0.045, 0.3);
  const auto receive = [&](int ms) {
    usual.OnReport(Report(8, 0, noise(random)), 0, fixture.options,
                   fixture.fleet, At(ms));
    slow.OnReport(Report(8, 0, 1.3 * noise(random)), 0, fixture.options,
                  fixture.fleet, At(ms));
  };
  SECTION("one report changes little") {
    fixture.Receive(Report(8, 0, 3), 0);
    CHECK(fixture.Trusted(0).work_time < 1.5);
    CHECK(fixture.Trusted(0).work_time > 1);
  }
  SECTION("many reports agree, although some are lost") {
    for (int ms = 0; ms < 60000; ms += 1000) {
      if (random() % 2 == 0)
        receive(ms);
    }
    CHECK(fixture.Trusted(60000, usual).work_time == Approx(1).margin(0.15));
    CHECK(fixture.Trusted(60000, slow).work_time > 1.12);
    CHECK(fixture.Trusted(60000, slow).work_time < 1.45);
    // It is forgotten after minutes without reports.
    CHECK(fixture.Trusted(900000, slow).work_time == Approx(1).margin(0.02));
  }
}

// Guards against figures that are well-formed but wrong: an estimate that is
// not a number, negative or without bound would win or lose every comparison.
TEST_CASE("Extreme figures give bounded estimates",
          "[scheduling][load][malformed]") {
  Fixture fixture;
  for (const double work_time : {1e-9, 1e9}) {
    for (const int slots : {0, 1, 1000000}) {
      for (const int count : {0, 1000000}) {
        LoadReport report;
        report.running = count;
        report.waiting = count;
        report.slots = slots;
        report.work_time = work_time;
        for (int i = 0; i < 50; ++i)
          fixture.Receive(report, i);
        for (const int ms : {50, 5000, 100000000}) {
          const TrustedLoad load = fixture.Trusted(ms);
          CHECK(std::isfinite(load.others));
          CHECK(load.others >= 0);
          CHECK(load.others <= 8 * load.slots);
          CHECK(load.waiting >= 0);
          CHECK(load.slots >= 1);
          CHECK(load.work_time >= LoadEstimate::kMinWorkTime);
          CHECK(load.work_time <= LoadEstimate::kMaxWorkTime);
        }
      }
    }
  }
}

// Guards against instances that all follow the same reports: 25 of them, whose
// reports are up to a second old and half of which are lost, would fill one
// server after the other.
TEST_CASE(
    "Instances that choose the least loaded of ten servers by stale "
    "reports spread their requests",
    "[scheduling][load][herding]") {
  constexpr int kServers = 10;
  constexpr int kInstances = 25;
  const auto busiest_over_mean = [&](const LoadEstimateOptions& options) {
    std::mt19937 random(3);
    std::vector<FleetLoad> fleets(kInstances);
    std::vector<std::vector<LoadEstimate>> known(
        kInstances, std::vector<LoadEstimate>(kServers));
    std::vector<int> in_use(kServers, 0);
    // Instance and server of the requests, the oldest first; each runs 500 ms.
    std::vector<std::pair<int, int>> running;
    std::vector<std::vector<int>> own(kInstances, std::vector<int>(kServers));
    double sum = 0;
    int samples = 0;
    for (int ms = 0; ms < 20000; ms += 4) {
      const auto instance = static_cast<int>(random() % kInstances);
      int best = 0;
      double best_load = 1e9;
      for (int i = 0; i < kServers; ++i) {
        const double load =
            own[instance][i] +
            known[instance][i]
                .Compute(options, fleets[instance], kSlots, At(ms))
                .others +
            1e-3 * static_cast<double>(random() % 1000);
        if (load < best_load) {
          best = i;
          best_load = load;
        }
      }
      ++in_use[best];
      ++own[instance][best];
      known[instance][best].OnSent(At(ms));
      running.emplace_back(instance, best);
      if (running.size() <= 125)
        continue;
      const auto [answered, server] = running.front();
      running.erase(running.begin());
      if (random() % 2 == 0)
        known[answered][server].OnReport(Report(in_use[server]),
                                         own[answered][server], options,
                                         fleets[answered], At(ms));
      --in_use[server];
      --own[answered][server];
      sum += *std::max_element(in_use.begin(), in_use.end()) /
             (static_cast<double>(running.size()) / kServers);
      ++samples;
    }
    return sum / samples;
  };
  LoadEstimateOptions trusting;
  trusting.load_memory = std::chrono::duration<double>(1e-6);
  trusting.load_prior_reports = 0;
  trusting.max_load_weight = 1;
  trusting.uses_fleet_mean = false;
  trusting.corrects_own = false;
  const double product = busiest_over_mean(LoadEstimateOptions());
  CHECK(product < 1.7);
  CHECK(product < busiest_over_mean(trusting));
}
