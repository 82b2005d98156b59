#include <future>

#include "tests/sessions/gateway/gateway_fixture.h"

// A backend server that starts again under its id: what is known of one of its
// processes does not hold for another.
namespace gateway_test {
namespace {

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

}  // namespace gateway_test
