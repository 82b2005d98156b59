#include "tests/sessions/gateway/gateway_fixture.h"

namespace gateway_test {
namespace {

using std::chrono::steady_clock;

// Time limit of the routes in DesiredState.
constexpr milliseconds kRouteTimeout{1500};

}  // namespace

// Guards against a time-out that takes a slow stream for a stalled one.
TEST_CASE("A slow but sound stream is relayed whole from one engine",
          "[gateway]") {
  GatewayFixture fixture;
  ScriptedEngine& engine =
      fixture.AddEngine("slow", [](const Request& request) {
        Answer answer;
        answer.steps.push_back({ScriptedEngine::StreamHead(request)});
        // Longer pauses than the route's aim of 200 ms.
        for (int id = 1; id <= 3; ++id)
          answer.steps.push_back(
              {ScriptedEngine::EventChunk(id), milliseconds(400)});
        answer.steps.push_back({ScriptedEngine::StreamEnd()});
        return answer;
      });
  const auto target = GENERATE("/stream/x", "/single/x");
  const Received received = fixture.Send(target);
  CHECK(received.status == 200);
  CHECK_FALSE(received.is_cut);
  CHECK(engine.requests().size() == 1);
}

// Guards against a stream that never ends because its engine sends a byte now
// and then.
TEST_CASE("A stalled stream that sends single bytes ends at its time limit",
          "[gateway]") {
  GatewayFixture fixture;
  ScriptedEngine& engine =
      fixture.AddEngine("stalled", [](const Request& request) {
        Answer answer;
        answer.steps.push_back({ScriptedEngine::StreamHead(request)});
        answer.steps.push_back({ScriptedEngine::EventChunk(1)});
        for (int i = 0; i < 100; ++i)
          answer.steps.push_back({"1\r\n:\r\n", milliseconds(100)});
        return answer;
      });
  const auto target = GENERATE("/stream/x", "/single/x");
  const auto begin = steady_clock::now();
  const Received received = fixture.Send(target);
  CHECK(received.is_cut);
  CHECK(steady_clock::now() - begin < kRouteTimeout + milliseconds(500));
  fixture.WaitUntil([&] { return engine.aborted_connections() > 0; });
}

}  // namespace gateway_test
