#include "dandelionmill/gateway/request_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>

namespace base = dandelionmill::base;
using dandelionmill::gateway::BackendEntry;
using dandelionmill::gateway::RequestLimits;
using std::chrono::milliseconds;

namespace {

base::MonoTime At(int ms) {
  return base::MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

const base::BootTime kConnectedAt{std::chrono::hours(2)};

// An entry that was listed `after` the connections on which limits are named
// were opened.
BackendEntry Backend(std::int64_t incarnation = 1,
                     milliseconds after = milliseconds(60000)) {
  BackendEntry backend;
  backend.id = base::BackendId("limited");
  backend.incarnation = incarnation;
  backend.unlisted_until = kConnectedAt + after;
  return backend;
}

RequestLimits::Observation Named(std::optional<double> limit,
                                 std::int64_t incarnation = 1) {
  return {base::BackendId("limited"),
          {incarnation, std::nullopt, kConnectedAt, {}},
          limit};
}

// Instances that all know one limit; the first `unknown` of them are not known
// to the others yet.
std::vector<RequestLimits> Fleet(int count, int unknown = 0) {
  std::vector<RequestLimits> fleet(static_cast<std::size_t>(count));
  for (int self = 0; self < count; ++self) {
    std::vector<base::InstanceId> others;
    for (int other = unknown; other < count; ++other) {
      if (other != self)
        others.emplace_back("front-" + std::to_string(other));
    }
    fleet[static_cast<std::size_t>(self)].SetInstances(
        base::InstanceId("front-" + std::to_string(self)), others);
  }
  return fleet;
}

struct Load {
  int total = 0;
  int most_in_window = 0;
};

// Lets every instance send as often as it may for `seconds`; the limit is named
// at the start.
Load Saturate(std::vector<RequestLimits>& fleet, double limit, int seconds) {
  constexpr int kWindowMs = 4000;
  constexpr int kSettleMs = 3000;
  for (RequestLimits& instance : fleet)
    instance.OnResponse(Named(limit), At(-10), At(0));
  Load load;
  std::deque<int> window;
  for (int ms = 0; ms < 1000 * seconds; ms += 10) {
    for (RequestLimits& instance : fleet) {
      if (!instance.Admits(Backend(), At(ms)))
        continue;
      instance.OnSent(Backend().id, At(ms));
      ++load.total;
      if (ms >= kSettleMs)
        window.push_back(ms);
    }
    while (!window.empty() && window.front() <= ms - kWindowMs)
      window.pop_front();
    load.most_in_window =
        std::max(load.most_in_window, static_cast<int>(window.size()));
  }
  return load;
}

}  // namespace

// Guards against instances that each keep a limit which is named for all.
TEST_CASE("All instances together keep the limit of a backend server",
          "[gateway]") {
  for (const int count : {1, 2, 3, 5, 8, 9, 40, 81, 300}) {
    for (const double limit : {0.0, 0.3, 1.0, 1.4, 1.7, 3.0, 10.0, 80.0}) {
      INFO(count << " instances, " << limit << " requests per second");
      auto fleet = Fleet(count);
      const Load load = Saturate(fleet, limit, 40);
      CHECK(load.most_in_window <= 1.5 * 4 * limit + 5);
      CHECK(load.total >= 0.7 * 40 * limit);
    }
  }
}

TEST_CASE("The limit is kept while some instances do not know of each other",
          "[gateway]") {
  for (const double limit : {0.3, 1.0, 1.7, 10.0}) {
    INFO(limit);
    auto fleet = Fleet(9, 1);
    CHECK(Saturate(fleet, limit, 40).most_in_window <= 1.5 * 4 * limit + 5);
  }
}

TEST_CASE("A limit that an instance was idle under allows no burst",
          "[gateway]") {
  auto fleet = Fleet(1);
  fleet[0].OnResponse(Named(1), At(0), At(10));
  int sent = 0;
  for (int ms = 60000; ms < 64000; ms += 10) {
    if (!fleet[0].Admits(Backend(), At(ms)))
      continue;
    fleet[0].OnSent(Backend().id, At(ms));
    ++sent;
  }
  CHECK(sent <= 5);
}

TEST_CASE("A limit holds for as long as the backend server names it",
          "[gateway]") {
  auto fleet = Fleet(1);
  RequestLimits& limits = fleet[0];
  CHECK(limits.OnResponse(Named(1), At(0), At(100)));
  CHECK_FALSE(limits.OnResponse(Named(1), At(0), At(110)));
  CHECK_FALSE(limits.Admits(Backend(), At(120)));
  SECTION("a response to an earlier request does not end it") {
    CHECK_FALSE(limits.OnResponse(Named(std::nullopt), At(50), At(130)));
    CHECK_FALSE(limits.Admits(Backend(), At(140)));
  }
  SECTION("a response to a later request ends it") {
    CHECK(limits.OnResponse(Named(std::nullopt), At(120), At(130)));
    CHECK(limits.Admits(Backend(), At(140)));
  }
  SECTION("a restart of the backend server ends it") {
    CHECK(limits.Admits(Backend(2), At(140)));
    CHECK(limits.Admits(Backend(2, milliseconds(2000)), At(140)));
  }
  SECTION("the late entry of the process that named it does not end it") {
    const BackendEntry late = Backend(2, milliseconds(1999));
    CHECK_FALSE(limits.Admits(late, At(140)));
    SECTION("also if another instance reports it") {
      limits.MergeObservation({late.id, {1, std::nullopt, {}, {}}, 1}, At(140));
      CHECK_FALSE(limits.Admits(late, At(150)));
    }
    SECTION("but does so if no response names it for long") {
      CHECK(limits.Admits(late, At(5110)));
    }
  }
}

TEST_CASE("Instances without a share send nothing", "[gateway]") {
  auto fleet = Fleet(40);
  for (RequestLimits& instance : fleet)
    instance.OnResponse(Named(1), At(0), At(0));
  const auto with_share = std::count_if(
      fleet.begin(), fleet.end(), [](const RequestLimits& instance) {
        return instance.TimeUntilAdmitted(Backend(), At(0)).has_value();
      });
  CHECK(with_share == 5);
}

// Guards against instances without a share of a limit that never learn of its
// end.
TEST_CASE("What one instance observes of a limit is passed on once",
          "[gateway]") {
  auto fleet = Fleet(2);
  fleet[0].OnResponse(Named(1), At(0), At(10));
  fleet[0].OnResponse(Named(1.05), At(20), At(30));
  auto observed = fleet[0].TakeObservations();
  REQUIRE(observed.size() == 1);
  fleet[1].MergeObservation(observed[0], At(40));
  CHECK(fleet[1].LimitOf(Backend().id) == 1.0);
  fleet[1].OnResponse(Named(1), At(50), At(60));
  CHECK(fleet[1].TakeObservations().empty());
  fleet[0].OnResponse(Named(std::nullopt), At(70), At(80));
  observed = fleet[0].TakeObservations();
  REQUIRE(observed.size() == 1);
  fleet[1].MergeObservation(observed[0], At(90));
  CHECK_FALSE(fleet[1].LimitOf(Backend().id));
}
