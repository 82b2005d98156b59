#include <string>

#include "tests/sessions/gateway/gateway_fixture.h"

using namespace gateway_test;  // NOLINT(google-build-using-namespace)

namespace {

// Time in which an accepted configuration must be in force.
constexpr milliseconds kPropagationTime{2500};
// Time after which a backend server that leaves gets no new request.
constexpr milliseconds kDrainTime{2500};

// Versions that are lost with the copy: more than the gateway writes within the
// times above.
constexpr int kLostVersions = 300;

Answer WholeAnswer(const Request& request) {
  return ScriptedEngine::CompleteAnswer(request, 200, "answer");
}

// A configuration with one route more than DesiredState, "/added/".
json StateWithAddedRoute(int version) {
  json state = DesiredState(version);
  json route = state["routes"][0];
  route["name"] = "added";
  route["prefix"] = "/added/";
  state["routes"].push_back(std::move(route));
  return state;
}

void StoreLostVersions(GatewayFixture& fleet) {
  for (int i = 0; i < kLostVersions; ++i)
    fleet.store.Put(i % 2 == 0 ? "op" : "servers", "unused", i);
  std::this_thread::sleep_for(milliseconds(200));
}

bool IsServedInTime(GatewayFixture& fleet,
                    const std::string& target,
                    milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < end) {
    if (fleet.Send(target).status == 200)
      return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

// Restores the store from the last copy, after a moment without it.
void RestoreStore(GatewayFixture& fleet) {
  fleet.store.SetDown(true);
  std::this_thread::sleep_for(milliseconds(300));
  fleet.store.Restore();
  fleet.store.SetDown(false);
}

json BackendRow(const std::string& state, int port) {
  return {
      {"service", "model"}, {"address", "127.0.0.1:" + std::to_string(port)},
      {"zone", "north"},    {"slots", 8},
      {"state", state},     {"born", 1}};
}

}  // namespace

// Guards against followers that reject a restored store's answers as stale
// until its versions pass the lost ones.
TEST_CASE("A configuration is in force in time after the store was restored",
          "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", WholeAnswer);
  fleet.store.TakeCopy();
  StoreLostVersions(fleet);
  REQUIRE(fleet.Send("/added/").status == 404);
  RestoreStore(fleet);
  fleet.store.RewriteLostRows();
  fleet.store.Put("op", "config", StateWithAddedRoute(2));
  CHECK(IsServedInTime(fleet, "/added/", kPropagationTime));
}

// Guards against a return to the older configuration of the copy.
TEST_CASE("A configuration in force does not revert with a restored store",
          "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", WholeAnswer);
  fleet.store.TakeCopy();
  fleet.store.Put("op", "config", StateWithAddedRoute(2));
  REQUIRE(IsServedInTime(fleet, "/added/", kPropagationTime));
  RestoreStore(fleet);
  // Until the gateway asks the store again, its configuration is confirmed.
  fleet.WaitUntil([&] { return fleet.Send("/unknown/").status == 503; });
  for (int i = 0; i < 36; ++i) {
    CHECK(fleet.Send("/added/").status == 200);
    // What the copy may have lost must not be refused for good.
    CHECK(fleet.Send("/unknown/").status == 503);
    std::this_thread::sleep_for(milliseconds(50));
  }
  fleet.store.RewriteLostRows();
  CHECK(fleet.Send("/added/").status == 200);
}

// Guards against requests to a backend server that leaves, which the gateway
// does not notice while it rejects the restored store's answers.
TEST_CASE("A backend server that leaves after a restore gets no new requests",
          "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", WholeAnswer);
  fleet.store.TakeCopy();
  StoreLostVersions(fleet);
  RestoreStore(fleet);
  fleet.store.RewriteLostRows();
  fleet.store.Put("servers", "i-1", BackendRow("draining", kFirstEnginePort));
  std::this_thread::sleep_for(kDrainTime);
  const Received refused = fleet.Send("/once/");
  INFO(refused.body);
  CHECK(refused.status == 503);
  CHECK(fleet.engines["i-1"]->requests().empty());
}

// Guards against a backend server that the copy lists as ready although the
// gateway knows that it leaves.
TEST_CASE("A backend server that left before a restore stays out",
          "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", WholeAnswer);
  REQUIRE(fleet.Send("/once/").status == 200);
  fleet.store.TakeCopy();
  if (GENERATE(true, false))
    fleet.store.Put("servers", "i-1", BackendRow("draining", kFirstEnginePort));
  else
    fleet.store.Delete("servers", "i-1");
  std::this_thread::sleep_for(milliseconds(300));
  REQUIRE(fleet.Send("/once/").status == 503);
  RestoreStore(fleet);
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet.Send("/once/").status == 503);
    std::this_thread::sleep_for(milliseconds(50));
  }
  SECTION("until it registers a new start") {
    json row = BackendRow("ready", kFirstEnginePort);
    row["born"] = 2;
    fleet.store.Put("servers", "i-1", row);
    CHECK(IsServedInTime(fleet, "/once/", kPropagationTime));
  }
}
