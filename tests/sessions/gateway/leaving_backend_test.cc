#include "tests/sessions/gateway/gateway_fixture.h"

namespace gateway_test {
namespace {

ScriptedEngine::Script Complete(const std::string& id) {
  return [id](const Request& request) {
    return ScriptedEngine::CompleteAnswer(request, 200, id);
  };
}

// Sends requests until the backend server has received one.
void SendUntilReached(GatewayFixture& fixture, const ScriptedEngine& engine) {
  const std::size_t before = engine.requests().size();
  fixture.WaitUntil([&] {
    CHECK(fixture.Send("/once/x").status == 200);
    return engine.requests().size() > before;
  });
}

void SendSome(GatewayFixture& fixture) {
  for (int i = 0; i < 40; ++i)
    CHECK(fixture.Send("/once/x").status == 200);
}

}  // namespace

// Guards against new work for a backend server that leaves while the registry
// still lists it as ready, as during an outage of the store.
TEST_CASE("A backend server that says it leaves gets no new requests",
          "[gateway]") {
  GatewayFixture fixture;
  ScriptedEngine& leaving =
      fixture.AddEngine("leaving", [](const Request& request) {
        return ScriptedEngine::Leaving(
            ScriptedEngine::CompleteAnswer(request, 200, "leaving"));
      });
  fixture.AddEngine("other", Complete("other"));
  SendUntilReached(fixture, leaving);
  const std::size_t reached = leaving.requests().size();

  SECTION("its responses are relayed, and later requests go elsewhere") {
    SendSome(fixture);
    CHECK(leaving.requests().size() == reached);
  }
  SECTION("its entry is written again as ready") {
    fixture.store.Put(
        "servers", "leaving",
        {{"service", "model"},
         {"address", "127.0.0.1:" + std::to_string(kFirstEnginePort)},
         {"zone", "north"},
         {"version", "v1"},
         {"slots", 8},
         {"state", "ready"},
         {"sequence", 7},
         {"born", 1}});
    std::this_thread::sleep_for(milliseconds(200));
    SendSome(fixture);
    CHECK(leaving.requests().size() == reached);
  }
  SECTION("a later response without the header field does not change it") {
    leaving.SetScript(Complete("leaving"));
    SendSome(fixture);
    CHECK(leaving.requests().size() == reached);
  }
  SECTION("another start of it is used again") {
    leaving.SetScript(Complete("leaving"));
    fixture.store.Put(
        "servers", "leaving",
        {{"service", "model"},
         {"address", "127.0.0.1:" + std::to_string(kFirstEnginePort)},
         {"zone", "north"},
         {"version", "v1"},
         {"slots", 8},
         {"state", "ready"},
         {"born", 2}});
    SendUntilReached(fixture, leaving);
  }
}

TEST_CASE("A stream of a backend server that leaves is relayed to its end",
          "[gateway]") {
  GatewayFixture fixture;
  ScriptedEngine& leaving =
      fixture.AddEngine("leaving", [](const Request& request) {
        Answer answer;
        answer.steps.push_back({ScriptedEngine::StreamHead(request)});
        for (int id = 1; id <= 4; ++id)
          answer.steps.push_back(
              {ScriptedEngine::EventChunk(id), milliseconds(60)});
        answer.steps.push_back({ScriptedEngine::StreamEnd()});
        return ScriptedEngine::Leaving(std::move(answer));
      });
  const Received received = fixture.Send("/stream/x");
  CHECK(received.status == 200);
  CHECK_FALSE(received.is_cut);
  CHECK(leaving.requests().size() == 1);
  // Nothing else can serve the next request, so it is rejected at once.
  const auto begin = std::chrono::steady_clock::now();
  const Received refused = fixture.Send("/stream/x");
  CHECK(refused.status == 503);
  CHECK(std::chrono::steady_clock::now() - begin < milliseconds(300));
  CHECK(leaving.requests().size() == 1);
}

TEST_CASE("A request is not retried at a backend server that leaves",
          "[gateway]") {
  GatewayFixture fixture;
  ScriptedEngine& leaving =
      fixture.AddEngine("leaving", [](const Request& request) {
        return ScriptedEngine::Leaving(
            ScriptedEngine::CompleteAnswer(request, 200, "leaving"));
      });
  ScriptedEngine& failing = fixture.AddEngine("failing", Complete("failing"));
  SendUntilReached(fixture, leaving);
  failing.SetScript([](const Request&) {
    return Answer{{}, Answer::Then::kReset};
  });
  const std::size_t reached = leaving.requests().size();
  CHECK(fixture.Send("/safe/x").status == 502);
  CHECK(leaving.requests().size() == reached);
}

}  // namespace gateway_test
