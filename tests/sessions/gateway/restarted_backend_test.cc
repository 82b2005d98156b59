#include <future>

#include "tests/sessions/gateway/gateway_fixture.h"

// A backend server that starts again under its id: what is known of one of its
// processes does not hold for another.
namespace gateway_test {
namespace {

using std::chrono::steady_clock;

// Time for the gateway to read a change of the registry.
constexpr milliseconds kListingTime{300};

ScriptedEngine::Script Complete(const std::string& body) {
  return [body](const Request& request) {
    return ScriptedEngine::CompleteAnswer(request, 200, body);
  };
}

// Lists the start `born` of an engine.
void List(GatewayFixture& fixture,
          const std::string& id,
          int port,
          std::int64_t born) {
  fixture.store.Put("servers", id,
                    {{"service", "model"},
                     {"address", "127.0.0.1:" + std::to_string(port)},
                     {"zone", "north"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"born", born}});
  std::this_thread::sleep_for(kListingTime);
}

// Sends requests until the engine has received one.
void SendUntilReached(GatewayFixture& fixture, const ScriptedEngine& engine) {
  const std::size_t before = engine.requests().size();
  fixture.WaitUntil([&] {
    CHECK(fixture.Send("/safe/x").status == 200);
    return engine.requests().size() > before;
  });
}

}  // namespace

// Guards against requests to a process that the registry no longer lists, and
// against what it says being taken for that of the listed one: its connection
// was in use when the idle ones were closed, and became idle afterwards.
TEST_CASE("A connection to an earlier process is not used for the listed one",
          "[gateway]") {
  GatewayFixture fixture;
  ScriptedEngine& earlier =
      fixture.AddEngine("engine", [](const Request& request) {
        Answer answer = ScriptedEngine::CompleteAnswer(request, 200, "earlier");
        answer.steps.front().pause_before = milliseconds(800);
        return ScriptedEngine::Leaving(std::move(answer));
      });
  ScriptedEngine listed(kFirstEnginePort + 20, Complete("listed"));
  auto in_progress = std::async(std::launch::async,
                                [&fixture] { return fixture.Send("/once/x"); });
  fixture.WaitUntil([&] { return earlier.requests().size() == 1; });
  List(fixture, "engine", kFirstEnginePort + 20, 2);
  CHECK(in_progress.get().body == "earlier");
  for (int i = 0; i < 5; ++i)
    CHECK(fixture.Send("/once/x").body == "listed");
  CHECK(earlier.requests().size() == 1);
}

// Guards against requests in a pause for which a process has asked before the
// registry listed it.
TEST_CASE("A pause outlasts the late listing of the process that asked for it",
          "[gateway]") {
  constexpr milliseconds kPause{2500};
  GatewayFixture fixture;
  fixture.AddEngine("paused", Complete("paused"));
  fixture.AddEngine("other", Complete("other"));
  fixture.RestartEngine(
      "paused",
      [kPause](const Request& request) {
        return ScriptedEngine::Unavailable(request, kPause);
      },
      2);
  ScriptedEngine& paused = *fixture.engines.at("paused");
  SendUntilReached(fixture, paused);
  const auto paused_at = steady_clock::now();
  const std::size_t reached = paused.requests().size();
  List(fixture, "paused", kFirstEnginePort, 2);
  while (steady_clock::now() - paused_at < kPause - milliseconds(200)) {
    CHECK(fixture.Send("/safe/x").body == "other");
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(paused.requests().size() == reached);
  // It is used again after the pause.
  paused.SetScript(Complete("paused"));
  SendUntilReached(fixture, paused);
}

// Guards against new work for a process that has said that it leaves before the
// registry listed it.
TEST_CASE("A leave outlasts the late listing of the process that leaves",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.AddEngine("leaving", Complete("leaving"));
  fixture.AddEngine("other", Complete("other"));
  fixture.RestartEngine(
      "leaving",
      [](const Request& request) {
        return ScriptedEngine::Leaving(
            ScriptedEngine::CompleteAnswer(request, 200, "leaving"));
      },
      2);
  ScriptedEngine& leaving = *fixture.engines.at("leaving");
  SendUntilReached(fixture, leaving);
  const std::size_t reached = leaving.requests().size();
  List(fixture, "leaving", kFirstEnginePort, 2);
  for (int i = 0; i < 40; ++i)
    CHECK(fixture.Send("/safe/x").body == "other");
  CHECK(leaving.requests().size() == reached);
}

// Guards against a crash that counts as a lost connection since the backend
// server is back before the gateway looks.
TEST_CASE("A request that crashes servers which are back at once is refused",
          "[gateway]") {
  GatewayFixture fixture;
  const auto crash_by = [&fixture](const std::string& id) {
    return [&fixture, id](const Request& request) {
      if (request.body() != "crash")
        return ScriptedEngine::CompleteAnswer(request, 200, id);
      ++fixture.engines.at(id)->born;
      return Answer{{}, Answer::Then::kReset};
    };
  };
  fixture.AddEngine("a", crash_by("a"));
  fixture.AddEngine("b", crash_by("b"));
  // Connections that are older than the delay of entries belong to the listed
  // processes.
  const auto begin = steady_clock::now();
  while (steady_clock::now() - begin < milliseconds(5000)) {
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.Send("/safe/x").status == 200);
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  CHECK(fixture.Send("/safe/x", {}, "crash").status == 502);
  std::this_thread::sleep_for(milliseconds(800));
  const Received refused = fixture.Send("/safe/x", {}, "crash");
  CHECK(refused.status == 503);
  CHECK(refused.body.find("quarantined") != std::string::npos);
  CHECK(fixture.engines.at("a")->born == 2);
  CHECK(fixture.engines.at("b")->born == 2);
  // Others are served.
  CHECK(fixture.Send("/safe/x").status == 200);
}

// The same break without a crash.
TEST_CASE("A request whose connections are reset is not refused", "[gateway]") {
  GatewayFixture fixture;
  const auto reset = [](const Request& request) {
    return request.body() == "reset"
               ? Answer{{}, Answer::Then::kReset}
               : ScriptedEngine::CompleteAnswer(request, 200, "whole");
  };
  fixture.AddEngine("a", reset);
  fixture.AddEngine("b", reset);
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.Send("/safe/x", {}, "reset").status == 502);
    std::this_thread::sleep_for(milliseconds(800));
  }
}

}  // namespace gateway_test
