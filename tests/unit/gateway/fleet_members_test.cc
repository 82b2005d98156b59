#include "dandelionmill/gateway/fleet_members.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "tests/support/fake_table.h"

namespace peer = dandelionmill::peer;
using dandelionmill::gateway::FleetMembers;

namespace {

struct Fixture {
  boost::asio::io_context loop;
  tests::FakeTable table{loop};
  int count = 0;
  std::vector<peer::Instance> others;
  FleetMembers members{table,
                       {"front-1", "front-1/a", {"127.0.0.1", 7001}},
                       [this](int live, std::vector<peer::Instance> peers) {
                         count = live;
                         others = std::move(peers);
                       }};

  void Tick() {
    members.Tick();
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
          "[gateway][!mayfail]") {
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
          "[gateway][!mayfail]") {
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
