#include "dandelionmill/scheduling/cold_allowance.h"

#include <catch2/catch.hpp>
#include <string>

namespace base = dandelionmill::base;
using dandelionmill::gateway::BackendEntry;
using dandelionmill::scheduling::ColdAllowance;
using dandelionmill::scheduling::DivideRate;
using std::chrono::milliseconds;

namespace {

base::BootTime At(int ms) {
  return base::BootTime(std::chrono::hours(1)) + milliseconds(ms);
}

BackendEntry Server(int remaining_ms = 0, std::int64_t incarnation = 1) {
  BackendEntry entry;
  entry.id = base::BackendId("engine");
  entry.service = base::ServiceId("model");
  entry.incarnation = incarnation;
  entry.remaining_warm_up = milliseconds(remaining_ms);
  return entry;
}

// An instance that has known `others` for long.
ColdAllowance Instance(int others) {
  ColdAllowance instance;
  instance.SetServices({{base::ServiceId("model"), {14, milliseconds(3000)}}});
  std::vector<base::InstanceId> ids;
  for (int i = 0; i < others; ++i)
    ids.emplace_back("front-" + std::to_string(i));
  instance.SetInstances(base::InstanceId("self"), ids, At(-9000));
  instance.SetInstances(base::InstanceId("self"), ids, At(-1000));
  return instance;
}

int SendAll(ColdAllowance& instance, int from_ms, int to_ms) {
  int sent = 0;
  for (int ms = from_ms; ms < to_ms; ++ms)
    sent += instance.TrySend(Server(), At(ms)) ? 1 : 0;
  return sent;
}

// Observes the server as warm.
void Check(ColdAllowance& instance, int ms) {
  instance.OnChecked(Server(), {true, std::nullopt, At(ms)}, At(ms));
}

}  // namespace

TEST_CASE("A rate is divided within the bound and without small shares",
          "[scheduling]") {
  for (const double rate : {0.4, 1.0, 1.9, 3.0, 14.0, 200.0}) {
    for (const std::size_t fleet : {1U, 2U, 7U, 25U, 84U, 300U}) {
      const double bound = (rate * 1.5 + 5) / 2;
      const auto division = DivideRate(rate, bound, fleet);
      INFO(rate << " per second, " << fleet << " instances");
      CHECK(division.instances <= fleet);
      const auto count = static_cast<double>(division.instances);
      CHECK(count * std::ceil(division.requests_per_s) <= bound);
      CHECK(count * division.requests_per_s >= 0.55 * std::min(rate, bound));
      CHECK((division.instances == 1 || division.requests_per_s >= 1));
      // Guards against one instance with the whole rate: when the list of
      // instances changes twice, three such instances may send at once.
      if (fleet >= 12 && rate >= 14)
        CHECK(division.instances >= 12);
    }
  }
}

TEST_CASE("Without services that have cold servers nothing is limited",
          "[scheduling]") {
  ColdAllowance instance = Instance(0);
  instance.SetServices({});
  instance.OnEntry(Server(3000), At(0));
  CHECK(instance.empty());
  CHECK(instance.Admits(Server(), At(0)));
  CHECK_FALSE(instance.NeedsCheck(Server(), At(0), At(0)));
  CHECK(SendAll(instance, 0, 100) == 100);
}

// Guards against a server that takes its whole load in the moment in which it
// has warmed up.
TEST_CASE("The allowance of a cold server grows after the cold state",
          "[scheduling]") {
  ColdAllowance instance = Instance(0);
  instance.OnEntry(Server(3000), At(0));
  CHECK(SendAll(instance, 0, 1000) == 13);
  CHECK(SendAll(instance, 1000, 3000) <= 26);
  int last = 3;
  for (int step = 0; step < 4; ++step) {
    const int begin = 3000 + 250 * step;
    const int sent = SendAll(instance, begin, begin + 250);
    CHECK(sent > last);
    last = sent;
  }
  CHECK(SendAll(instance, 4000, 4100) == 100);
  const auto changes = instance.TakeChanges(At(4100));
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].state == ColdAllowance::State::kCold);
  CHECK(changes[0].remaining == milliseconds(3000));
  CHECK(changes[1].state == ColdAllowance::State::kWarm);
}

TEST_CASE("Old and repeated entries do not make a server cold again",
          "[scheduling]") {
  ColdAllowance instance = Instance(0);
  instance.OnEntry(Server(500), At(0));
  instance.OnEntry(Server(500), At(400));
  CHECK(instance.Admits(Server(), At(1600)));
  instance.OnEntry(Server(500), At(1700));
  CHECK(SendAll(instance, 1700, 1800) == 100);
  SECTION("but the entry of a later start does") {
    instance.OnEntry(Server(500, 2), At(1800));
    CHECK(SendAll(instance, 1800, 1900) <= 2);
    instance.OnEntry(Server(900, 1), At(1900));
    CHECK(instance.LimitedCount(At(3300)) == 0);
  }
}

// Guards against instances that send to a server that was restarted under the
// same id, while its entry still shows it as warm.
TEST_CASE("A connection that may lead to an unknown process is checked",
          "[scheduling]") {
  ColdAllowance instance = Instance(0);
  CHECK(instance.NeedsCheck(Server(), At(0), At(0)));
  Check(instance, 0);
  CHECK_FALSE(instance.NeedsCheck(Server(), At(-500), At(9000)));
  CHECK_FALSE(instance.NeedsCheck(Server(), At(200), At(9000)));
  CHECK(instance.NeedsCheck(Server(), At(201), At(9000)));
  SECTION("responses on a known connection show that the process runs on") {
    instance.OnResponse(Server(), std::nullopt, At(0), At(2000), At(2100));
    CHECK_FALSE(instance.NeedsCheck(Server(), At(2200), At(9000)));
  }
  SECTION("responses on other connections show nothing") {
    instance.OnResponse(Server(), std::nullopt, At(1900), At(2000), At(2100));
    CHECK(instance.NeedsCheck(Server(), At(1900), At(9000)));
  }
  SECTION("a lost connection ends what is known") {
    instance.OnUnobserved(Server().id, ColdAllowance::Source::kConnectionLost,
                          At(100));
    CHECK(instance.NeedsCheck(Server(), At(100), At(100)));
  }
  SECTION("a later start ends what is known") {
    instance.OnEntry(Server(0, 1), At(100));
    instance.OnEntry(Server(0, 2), At(100));
    CHECK(instance.NeedsCheck(Server(0, 2), At(100), At(100)));
  }
  SECTION("a server that does not answer counts as cold for a while") {
    instance.OnChecked(Server(), {false, std::nullopt, At(600)}, At(1000));
    CHECK(SendAll(instance, 1000, 2000) == 13);
    CHECK(instance.Admits(Server(), At(5001)));
    CHECK_FALSE(instance.NeedsCheck(Server(), At(4000), At(5001)));
    Check(instance, 2000);
    CHECK(SendAll(instance, 2000, 2100) == 100);
    // Guards against one lost answer among several that blocks the server.
    instance.OnChecked(Server(), {false, std::nullopt, At(1990)}, At(2400));
    CHECK(SendAll(instance, 2400, 2500) == 100);
  }
}

// Guards against an instance that takes the whole allowance since it has not
// read yet which others there are, or has not for long.
TEST_CASE("An instance has a share only while it knows the others",
          "[scheduling]") {
  ColdAllowance instance;
  instance.SetServices({{base::ServiceId("model"), {14, milliseconds(3000)}}});
  instance.OnEntry(Server(20000), At(0));
  CHECK(SendAll(instance, 0, 1000) == 0);
  instance.SetInstances(base::InstanceId("self"), {}, At(1000));
  instance.SetInstances(base::InstanceId("self"), {}, At(3000));
  CHECK(SendAll(instance, 1000, 6000) == 0);
  CHECK(instance.TimeUntilAdmitted(Server(), At(5900)) == milliseconds(15100));
  CHECK(SendAll(instance, 6000, 7000) == 13);
  instance.OnResponse(Server(), milliseconds(90000), At(0), At(0), At(7000));
  CHECK(SendAll(instance, 33001, 35000) == 0);
}

// Guards against requests whose connection took long and that arrive together
// with the next one.
TEST_CASE("A request that was delayed after its choice keeps the interval",
          "[scheduling]") {
  ColdAllowance instance = Instance(0);
  instance.OnEntry(Server(3000), At(0));
  REQUIRE(instance.Admits(Server(), At(0)));
  instance.Reserve(Server(), At(0));
  CHECK_FALSE(instance.Admits(Server(), At(10)));
  CHECK(instance.TimeUntilAdmitted(Server(), At(10)) == milliseconds(71));
  REQUIRE(instance.Admits(Server(), At(81)));
  instance.Reserve(Server(), At(81));
  CHECK(instance.TrySend(Server(), At(90)));
  CHECK_FALSE(instance.TrySend(Server(), At(100)));
}
