#include <string>

#include "tests/sessions/gateway/gateway_fixture.h"

using namespace gateway_test;  // NOLINT(google-build-using-namespace)

namespace {

// Time in which an instance must have the newest configuration once the store
// is reachable again.
constexpr milliseconds kCatchUpTime{6000};

constexpr int kRoutes = 300;

Answer WholeAnswer(const Request& request) {
  return ScriptedEngine::CompleteAnswer(request, 200, "answer");
}

// A configuration with `routes` more routes than DesiredState, "/r0/" and on.
json LargeState(int version, int routes) {
  json state = DesiredState(version);
  const json model = state["routes"][0];
  for (int i = 0; i < routes; ++i) {
    json route = model;
    route["name"] = "a-route-with-a-long-name-" + std::to_string(i);
    route["prefix"] = "/r" + std::to_string(i) + "/";
    state["routes"].push_back(std::move(route));
  }
  return state;
}

std::string Target(int route) {
  return "/r" + std::to_string(route) + "/";
}

// Sends requests until one is answered with `status`, for kCatchUpTime at most.
bool IsAnsweredInTime(GatewayFixture& fleet,
                      const std::string& target,
                      int status) {
  const auto end = std::chrono::steady_clock::now() + kCatchUpTime;
  while (std::chrono::steady_clock::now() < end) {
    if (fleet.Send(target).status == status)
      return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

}  // namespace

// Guards against a feed call that is repeated under the same time limit while
// the changes that it has to transfer grow.
TEST_CASE(
    "A gateway has the newest configuration after an outage with many changes",
    "[gateway]") {
  GatewayFixture fleet(LargeState(1, kRoutes));
  fleet.AddEngine("i-1", WholeAnswer);
  fleet.store.SetBytesPerSecond(1000000);
  fleet.store.SetDown(true);
  std::this_thread::sleep_for(milliseconds(200));
  for (int i = 1; i <= 40; ++i)
    fleet.store.Put("op", "config", LargeState(1 + i, kRoutes + i));
  fleet.store.SetDown(false);
  CHECK(IsAnsweredInTime(fleet, Target(kRoutes + 39), 200));
}

// Guards against a time limit for the whole answer of the store that a large
// configuration on a slow link never meets.
TEST_CASE("A gateway reads a configuration that takes long to arrive",
          "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", WholeAnswer);
  fleet.Stop();
  fleet.store.SetBytesPerSecond(200000);
  fleet.store.Put("op", "config", LargeState(2, 2 * kRoutes));
  fleet.Start();
  CHECK(fleet.Send(Target(0)).status == 200);
}

// Guards against a final refusal (404, 401, 402) by a configuration that has
// been replaced while the store was out of reach.
TEST_CASE("What an outdated configuration does not allow may be sent again",
          "[gateway]") {
  GatewayFixture fleet(DesiredState(1, 100));
  fleet.AddEngine("i-1", WholeAnswer);
  const std::map<std::string, std::string> unknown_key = {
      {"Authorization", "Bearer other"}};
  const std::map<std::string, std::string> large = {
      {"Model", "m"}, {"Token-Count", "1000,1000"}};
  CHECK(fleet.Send(Target(0)).status == 404);
  CHECK(fleet.Send("/safe/", unknown_key).status == 401);
  CHECK(fleet.Send("/safe/", large).status == 402);
  fleet.store.SetDown(true);
  // Longer than a configuration counts as confirmed.
  std::this_thread::sleep_for(milliseconds(2000));
  for (const Received& refused :
       {fleet.Send(Target(0)), fleet.Send("/safe/", unknown_key),
        fleet.Send("/safe/", large)}) {
    CHECK(refused.status == 503);
    CHECK(refused.fields.count("Retry-After") == 1);
    // The retry goes to another instance.
    CHECK(refused.fields.at("Connection") == "close");
    CHECK(json::parse(refused.body).at("ran") == "no");
  }
  // What it allows is served.
  CHECK(fleet.Send("/safe/").status == 200);
  json next = DesiredState(2, 100000);
  next["tenants"][0]["apiKeys"].push_back("other");
  fleet.store.Put("op", "config", next);
  fleet.store.SetDown(false);
  CHECK(IsAnsweredInTime(fleet, Target(0), 404));
  CHECK(fleet.Send("/safe/", unknown_key).status == 200);
  CHECK(fleet.Send("/safe/", large).status == 200);
}
