#include "dandelionmill/gateway/fleet_members.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "tests/support/fake_table.h"
#include "tests/support/log_capture.h"

namespace peer = dandelionmill::peer;
using dandelionmill::gateway::FleetMembers;

namespace {

struct Fixture {
  boost::asio::io_context loop;
  tests::FakeTable table{loop};
  int count = 0;
  std::vector<peer::Instance> others;
  dandelionmill::base::ConfigVersion newest_config = 0;
  std::optional<std::uint64_t> settled_era;
  FleetMembers members{table,
                       {"front-1", "front-1/a", {"127.0.0.1", 7001}},
                       [] { return FleetMembers::State{3}; },
                       [this](FleetMembers::View view) {
                         count = view.count;
                         others = std::move(view.others);
                         newest_config = view.newest_config_version;
                         settled_era = view.settled_era;
                       }};

  void Tick() {
    members.TickAndRead();
    loop.restart();
    loop.run();
  }
  void PutHeartbeat(const std::string& instance, int port) {
    table.Put("instances", "", instance,
              R"({"process":")" + instance + R"(/b","peer":"127.0.0.1:)" +
                  std::to_string(port) + "\"}");
  }
};

}  // namespace

// Guards against an instance that is no longer known since the restored store
// has lost its heartbeats.
TEST_CASE("A live instance stays known when the store is restored",
          "[gateway]") {
  Fixture fixture;
  fixture.Tick();
  fixture.table.TakeCopy();
  fixture.PutHeartbeat("front-2", 7002);
  fixture.Tick();
  REQUIRE(fixture.count == 2);
  fixture.table.Restore();
  fixture.Tick();
  CHECK(fixture.count == 2);
  CHECK(fixture.others.size() == 1);
}

// Guards against requests for tokens to an instance that has left and that the
// restored store lists again.
TEST_CASE("An instance that left stays unknown when the store is restored",
          "[gateway]") {
  Fixture fixture;
  fixture.PutHeartbeat("front-2", 7002);
  fixture.Tick();
  REQUIRE(fixture.count == 2);
  fixture.table.TakeCopy();
  fixture.table.Delete("instances", "front-2");
  fixture.Tick();
  REQUIRE(fixture.count == 1);
  fixture.table.Restore();
  fixture.Tick();
  CHECK(fixture.count == 1);
  CHECK(fixture.others.empty());
  SECTION("until it writes a heartbeat") {
    fixture.PutHeartbeat("front-2", 7002);
    fixture.Tick();
    CHECK(fixture.count == 2);
  }
}

// Guards against final refusals by an instance that starts on a restored store
// and does not know of the newer configuration of the others.
TEST_CASE("An instance publishes the version of its configuration",
          "[gateway]") {
  Fixture fixture;
  fixture.Tick();
  CHECK(fixture.newest_config == 0);
  const std::string own = fixture.table.Value("instances", "", "front-1");
  fixture.table.Put("instances", "", "front-2", own);
  fixture.Tick();
  CHECK(fixture.newest_config == 3);
}

// Guards against prepaid tokens that are drawn from a restored store before all
// instances have added what it lost.
TEST_CASE("A fleet is settled once every live instance is", "[gateway]") {
  Fixture fixture;
  const auto put = [&](const std::string& era) {
    fixture.table.Put("instances", "", "front-2",
                      R"({"process":"b","peer":"127.0.0.1:7002")" + era + "}");
    fixture.Tick();
  };
  put(R"(,"era":0)");
  CHECK(fixture.settled_era == 0u);
  fixture.table.TakeCopy();
  fixture.table.Restore();
  fixture.Tick();
  CHECK_FALSE(fixture.settled_era);
  put("");
  CHECK_FALSE(fixture.settled_era);
  put(R"(,"era":1)");
  CHECK(fixture.settled_era == 1u);
}

// Guards against reads that grow as the square of the fleet.
TEST_CASE("The bytes that an instance reads do not grow with the fleet",
          "[gateway]") {
  const int instances = GENERATE(30, 300, 1000);
  Fixture fixture;
  for (int i = 2; i <= instances; ++i)
    fixture.PutHeartbeat("front-" + std::to_string(i), 7000 + i);
  fixture.Tick();
  REQUIRE(fixture.count == instances);
  const auto interval = std::max<std::chrono::milliseconds>(
      FleetMembers::kHeartbeatInterval,
      instances * FleetMembers::kReadIntervalPerInstance);
  const double rows_per_s =
      instances / std::chrono::duration<double>(interval).count();
  CHECK(rows_per_s <= 40);
  // The next heartbeats come without a read.
  const int reads = fixture.table.reads();
  fixture.members.Tick();
  fixture.loop.restart();
  fixture.loop.run();
  CHECK(fixture.table.reads() == reads);
}

TEST_CASE("A fleet of more than one page is counted whole", "[gateway]") {
  Fixture fixture;
  fixture.table.SetPageRows(100);
  for (int i = 2; i <= 350; ++i)
    fixture.PutHeartbeat("front-" + std::to_string(i), 7000 + i);
  fixture.Tick();
  CHECK(fixture.count == 350);
  CHECK(fixture.others.size() == 349);
}

// Guards against a fleet that starts together, in which every instance draws
// prepaid tokens for all accounts, since it knows of no other.
TEST_CASE("An instance knows the fleet before its first heartbeat is written",
          "[gateway][large_fleet][power_off_all]") {
  Fixture fixture;
  fixture.PutHeartbeat("front-2", 7002);
  fixture.table.SetLatency(std::chrono::milliseconds(400));
  fixture.members.TickAndRead();
  // A read is answered after half of the latency, a write after all of it.
  fixture.loop.run_for(std::chrono::milliseconds(300));
  CHECK(fixture.others.size() == 1);
}

TEST_CASE("A heartbeat is read without the fields that this build lacks",
          "[gateway]") {
  Fixture fixture;
  const tests::LogCapture log;
  SECTION("as a later build may write it") {
    fixture.table.Put("instances", "", "front-2",
                      R"({"process":"front-2/b","peer":"127.0.0.1:7002",)"
                      R"("zone":"a","config":9,"later":{"x":[1]}})");
  }
  SECTION("as the build 9045e41 writes it, without a zone") {
    fixture.table.Put("instances", "", "front-2",
                      R"({"process":"front-2/b","peer":"127.0.0.1:7002",)"
                      R"("config":9})");
  }
  fixture.Tick();
  CHECK(fixture.count == 2);
  REQUIRE(fixture.others.size() == 1);
  CHECK(fixture.newest_config == 9);
  CHECK(log.Count("event=heartbeat_malformed") == 0);
}

// Guards against an instance that is left out of lending and relaying with
// nothing to say why.
TEST_CASE("A heartbeat that cannot be read is logged once and still counted",
          "[gateway]") {
  Fixture fixture;
  const tests::LogCapture log;
  const std::string value = GENERATE(
      std::string("x"), std::string("[]"), std::string("{}"),
      std::string(R"({"peer":7002})"), std::string(R"({"peer":"front-2:x"})"));
  INFO(value);
  for (int i = 0; i < 3; ++i) {
    fixture.table.Put("instances", "", "front-2", value);
    fixture.Tick();
  }
  CHECK(fixture.count == 2);
  CHECK(fixture.others.empty());
  CHECK_FALSE(fixture.settled_era);
  CHECK(log.Count("event=heartbeat_malformed instance=front-2") == 1);
}

TEST_CASE("A field of a heartbeat with another type counts as missing",
          "[gateway]") {
  Fixture fixture;
  const tests::LogCapture log;
  fixture.table.Put("instances", "", "front-2",
                    R"({"peer":"127.0.0.1:7002","config":"9","era":-1,)"
                    R"("zone":5})");
  fixture.Tick();
  CHECK(fixture.others.size() == 1);
  CHECK(fixture.newest_config == 0);
  CHECK_FALSE(fixture.settled_era);
  CHECK(log.Count("fields=config,era,zone") == 1);
}
