#include <future>

#include "tests/sessions/gateway/gateway_fixture.h"

using namespace gateway_test;  // NOLINT(google-build-using-namespace)

namespace {

Answer WholeAnswer(const Request& request) {
  return ScriptedEngine::CompleteAnswer(request, 200, "answer");
}

Answer NotExecuted(const Request& request) {
  return {
      {{"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nAttempt-Id: " +
        std::string(request["Attempt-Id"]) + "\r\nContent-Length: 0\r\n\r\n"}}};
}

Answer Reset(const Request&) {
  return {{}, Answer::Then::kReset};
}

// Events first to last as the request asks for, then the end or a break.
Answer Stream(const Request& request, int last, Answer::Then then) {
  int first = 1;
  if (!request["Last-Event-Id"].empty())
    first = std::stoi(std::string(request["Last-Event-Id"])) + 1;
  Answer answer;
  answer.steps.push_back({ScriptedEngine::StreamHead(request)});
  for (int id = first; id <= last; ++id)
    answer.steps.push_back({ScriptedEngine::EventChunk(id), milliseconds(5)});
  if (then == Answer::Then::kKeep)
    answer.steps.push_back({ScriptedEngine::StreamEnd()});
  answer.then = then;
  return answer;
}

std::string EventsTo(int last) {
  std::string events;
  for (int id = 1; id <= last; ++id)
    events +=
        "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  return events;
}

const std::map<std::string, std::string> kTokens = {{"Model", "m"},
                                                    {"Token-Count", "900,100"},
                                                    {"Prompt-Prefix", "a:900"}};

}  // namespace

TEST_CASE("A request reaches its engine and its answer the caller",
          "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", WholeAnswer);
  const Received received = fleet.Send("/safe/x?q=1", {}, "body");
  CHECK(received.status == 200);
  CHECK(received.body == "answer");
  CHECK(received.fields.at("Server-Signature") == "proof");
  const auto requests = engine.requests();
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].target() == "/safe/x?q=1");
  CHECK(requests[0].body() == "body");
  CHECK(requests[0]["Expected-Instance"] == "i-1");
  CHECK(requests[0]["Tenant"] == "painters");
  CHECK(requests[0]["Authorization"].empty());
  CHECK(std::stoi(std::string(requests[0]["Deadline-Milliseconds"])) <= 1500);
}

TEST_CASE("Callers without a right are refused", "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", WholeAnswer);
  CHECK(fleet.Send("/safe/", {{"Authorization", "Bearer other"}}).status ==
        401);
  CHECK(fleet.Send("/nowhere/").status == 404);
  CHECK(fleet.Send("/safe/", {{"Host", "b.example"}}).status == 404);
  CHECK(engine.requests().empty());
}

TEST_CASE("An idempotent request runs again where one that is not does not",
          "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", Reset);
  fleet.AddEngine("i-2", Reset);
  const auto runs = [&fleet] {
    return fleet.engines["i-1"]->requests().size() +
           fleet.engines["i-2"]->requests().size();
  };
  CHECK(fleet.Send("/once/").status == 502);
  CHECK(runs() == 1);
  CHECK(fleet.Send("/safe/").status == 502);
  CHECK(runs() == 3);
}

TEST_CASE("A request that no engine has run is refused with that promise",
          "[gateway]") {
  GatewayFixture fleet;
  SECTION("when every engine is full") {
    fleet.AddEngine("i-1", NotExecuted);
    const Received received = fleet.Send("/once/");
    CHECK(received.status == 503);
    CHECK(received.fields.count("Retry-After") == 1);
    CHECK_THAT(received.body, Catch::Contains("\"ran\":\"no\""));
  }
  SECTION("when there is none") {
    const Received received = fleet.Send("/once/");
    CHECK(received.status == 503);
    CHECK(received.fields.count("Retry-After") == 1);
  }
  SECTION("when its connection is refused") {
    fleet.AddEngine("i-1", WholeAnswer);
    fleet.engines.clear();
    CHECK(fleet.Send("/once/").status == 503);
  }
}

TEST_CASE("A backend server that has taken over an address gets nothing more",
          "[gateway][replace_with_reuse]") {
  GatewayFixture fleet;
  ScriptedEngine& other =
      fleet.AddEngine("i-1", [](const Request& request) -> Answer {
        return {{{"HTTP/1.1 421 X\r\nInstance-Id: i-2\r\nAttempt-Id: " +
                  std::string(request["Attempt-Id"]) +
                  "\r\nContent-Length: 0\r\n\r\n"}}};
      });
  const Received first = fleet.Send("/once/");
  CHECK(first.status == 503);
  CHECK(first.fields.at("Retry-After") == "0.020");
  CHECK(fleet.Send("/once/").status == 503);
  CHECK(other.requests().size() == 1);
}

TEST_CASE("A failed idempotent request is answered by another engine",
          "[gateway]") {
  GatewayFixture fleet;
  const auto script = [&fleet](const Request& request) {
    const std::size_t runs = fleet.engines["i-1"]->requests().size() +
                             fleet.engines["i-2"]->requests().size();
    return runs == 1 ? ScriptedEngine::CompleteAnswer(request, 500, "broken")
                     : WholeAnswer(request);
  };
  fleet.AddEngine("i-1", WholeAnswer);
  fleet.AddEngine("i-2", script);
  fleet.engines["i-1"]->SetScript(script);
  CHECK(fleet.Send("/safe/").status == 200);
}

TEST_CASE("An engine's own failure is passed on as it is", "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", [](const Request& request) {
    return ScriptedEngine::CompleteAnswer(request, 500, "broken");
  });
  const Received received = fleet.Send("/once/");
  CHECK(received.status == 500);
  CHECK(received.body == "broken");
  CHECK(received.fields.at("Server-Signature") == "proof");
}

TEST_CASE("A stream that breaks off goes on at another engine", "[gateway]") {
  GatewayFixture fleet;
  std::atomic<int> runs{0};
  const auto script = [&runs](const Request& request) {
    return ++runs == 1 ? Stream(request, 4, Answer::Then::kReset)
                       : Stream(request, 9, Answer::Then::kKeep);
  };
  fleet.AddEngine("i-1", script);
  fleet.AddEngine("i-2", script);
  const Received received = fleet.Send("/stream/", kTokens);
  CHECK_FALSE(received.is_cut);
  CHECK(received.body == EventsTo(9));
}

TEST_CASE("A stream that may run once ends cut, never complete in part",
          "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", [](const Request& request) {
    return Stream(request, 4, Answer::Then::kReset);
  });
  const Received received = fleet.Send("/single/", kTokens);
  CHECK(received.is_cut);
  CHECK(engine.requests().size() == 1);
}

TEST_CASE("An answer to an earlier request is never passed on", "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", [](const Request& request) {
    Answer answer = WholeAnswer(request);
    answer.steps.push_back(
        {"HTTP/1.1 200 OK\r\nAttempt-Id: " +
             std::string(request["Attempt-Id"]) +
             "\r\nServer-Signature: proof\r\nContent-Length: 4\r\n\r\nlate",
         milliseconds(30)});
    return answer;
  });
  for (int i = 0; i < 5; ++i) {
    const Received received = fleet.Send("/safe/");
    CHECK(received.status == 200);
    CHECK(received.body == "answer");
  }
}

TEST_CASE("A success without proof of the run is not passed on", "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", [](const Request&) -> Answer {
    return {{{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrot!"}}};
  });
  CHECK(fleet.Send("/once/").status == 502);
}

TEST_CASE("An answer cut short is not passed on as whole", "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", [](const Request& request) -> Answer {
    Answer answer = WholeAnswer(request);
    answer.steps[0].bytes.pop_back();
    answer.then = Answer::Then::kClose;
    return answer;
  });
  CHECK(fleet.Send("/once/").status == 502);
}

TEST_CASE("A route's time is kept, and the engine is left", "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", [](const Request& request) {
    Answer answer = WholeAnswer(request);
    answer.steps[0].pause_before = milliseconds(4000);
    return answer;
  });
  const auto begin = std::chrono::steady_clock::now();
  CHECK(fleet.Send("/once/").status == 504);
  CHECK(std::chrono::steady_clock::now() - begin < milliseconds(2500));
  fleet.WaitUntil([&engine] { return engine.aborted_connections() == 1; });
}

TEST_CASE("A draining engine gets nothing new", "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& first = fleet.AddEngine("i-1", WholeAnswer);
  fleet.AddEngine("i-2", WholeAnswer);
  json entry = fleet.store.Value("servers", "", "i-1");
  entry["state"] = "draining";
  fleet.store.Put("servers", "i-1", entry);
  std::this_thread::sleep_for(milliseconds(400));
  for (int i = 0; i < 10; ++i)
    CHECK(fleet.Send("/safe/").status == 200);
  CHECK(first.requests().empty());
}

TEST_CASE("A new desired state is in force at once and never goes back",
          "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", WholeAnswer);
  json state = DesiredState(5);
  state["routes"].erase(0);
  fleet.store.Put("op", "config", state);
  fleet.WaitUntil([&fleet] { return fleet.Send("/safe/").status == 404; });
  fleet.store.Put("op", "config", DesiredState(4));
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(fleet.Send("/safe/").status == 404);
  SECTION("and one that cannot be read changes nothing") {
    fleet.store.Put("op", "config", {{"version", 9}, {"routes", 7}});
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(fleet.Send("/once/").status == 200);
  }
}

TEST_CASE("A prepaid amount is never exceeded, also over a restart",
          "[gateway]") {
  GatewayFixture fleet(DesiredState(1, 5000));
  fleet.AddEngine("i-1", [](const Request& request) {
    return Stream(request, 20, Answer::Then::kKeep);
  });
  int served = 0;
  for (int i = 0; i < 4; ++i)
    served += fleet.Send("/single/", kTokens).status == 200 ? 1 : 0;
  fleet.Stop();
  fleet.Start();
  for (int i = 0; i < 10; ++i)
    served += fleet.Send("/single/", kTokens).status == 200 ? 1 : 0;
  // Each uses 900 tokens of prompt and 100 of output.
  CHECK(served <= 5);
  CHECK(served >= 4);
  CHECK(fleet.Send("/single/", kTokens).status == 402);
  SECTION("and a top-up serves again") {
    fleet.store.Put("op", "config", DesiredState(2, 20000));
    fleet.WaitUntil(
        [&fleet] { return fleet.Send("/single/", kTokens).status == 200; });
  }
}

TEST_CASE("Requests are served while the store is away", "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", WholeAnswer);
  fleet.store.SetDown(true);
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(fleet.IsReady());
  for (int i = 0; i < 5; ++i)
    CHECK(fleet.Send("/once/").status == 200);
  fleet.store.SetDown(false);
}

TEST_CASE("A shutdown cuts nothing and gives tokens back", "[gateway]") {
  GatewayFixture fleet;
  // The first request waits for prepaid tokens, which takes part of its time
  // limit.
  std::atomic<bool> is_first{true};
  fleet.AddEngine("i-1", [&is_first](const Request& request) {
    Answer answer = Stream(request, 3, Answer::Then::kKeep);
    if (!is_first.exchange(false))
      answer.steps[2].pause_before = milliseconds(800);
    return answer;
  });
  const Received first = fleet.Send("/single/", kTokens);
  REQUIRE(first.status == 200);
  REQUIRE_FALSE(first.is_cut);
  REQUIRE(first.body == EventsTo(3));
  Received received;
  const auto sent_at = std::chrono::steady_clock::now();
  std::chrono::milliseconds duration{0};
  std::thread caller([&] {
    received = fleet.Send("/single/", kTokens);
    duration = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - sent_at);
  });
  std::this_thread::sleep_for(milliseconds(200));
  fleet.Shutdown();
  fleet.WaitUntil([&fleet] { return !fleet.IsReady(); });
  caller.join();
  // The time limit of the route is 1500 ms.
  INFO("the request took " << duration.count() << " ms");
  CHECK_FALSE(received.is_cut);
  CHECK(received.body == EventsTo(3));
  fleet.WaitUntil([&fleet] { return fleet.has_left.load(); });
  // Two requests of 900 tokens in and three events of five tokens each.
  CHECK(fleet.store.Value("prepaid", "account:painters", "total")["drawn"] ==
        2 * 915);
}

// Guards against a request that is accepted late in a shutdown and truncated by
// the end of the process.
TEST_CASE("A request that a shutdown would cut is refused as not run",
          "[gateway]") {
  // Requests in progress are failed 19 s after the start of the shutdown, and
  // the callers' deadline is later than that.
  constexpr milliseconds kShutdownGrace{20000};
  constexpr int kDeadlineMs = 30000;
  // Every request is accepted for 2800 ms from the start of the shutdown.
  constexpr milliseconds kPastNewRequestTime{2950};
  json state = DesiredState(1);
  for (const std::size_t route : {1, 3})
    state["routes"][route]["timeoutMs"] = kDeadlineMs;
  const std::string deadline = std::to_string(kDeadlineMs);
  std::atomic<bool> is_late_answered{false};
  GatewayFixture fleet(state, kShutdownGrace);
  ScriptedEngine& engine =
      fleet.AddEngine("i-1", [&is_late_answered](const Request& request) {
        Answer answer = Stream(request, 3, Answer::Then::kKeep);
        answer.steps[2].is_released = [&is_late_answered] {
          return is_late_answered.load();
        };
        return answer;
      });
  // A response in progress keeps the process running after its last new
  // request.
  std::future<Received> held_future = std::async(std::launch::async, [&] {
    auto fields = kTokens;
    fields["Deadline-Milliseconds"] = deadline;
    return fleet.Send("/single/", fields);
  });
  fleet.WaitUntil([&engine] { return !engine.requests().empty(); });
  fleet.Shutdown();
  std::this_thread::sleep_for(kPastNewRequestTime);
  const Received late =
      fleet.Send("/once/", {{"Deadline-Milliseconds", deadline}});
  const bool has_left_early = fleet.has_left;
  is_late_answered = true;
  const Received held = held_future.get();
  CHECK(late.status == 503);
  CHECK(late.fields.count("Retry-After") == 1);
  CHECK(engine.requests().size() == 1);
  CHECK_FALSE(has_left_early);
  CHECK(held.status == 200);
  CHECK(held.body == EventsTo(3));
  CHECK_FALSE(held.is_cut);
  fleet.WaitUntil([&fleet] { return fleet.has_left.load(); });
}

TEST_CASE("A request that may run once is sent once, whatever the route allows",
          "[gateway]") {
  json state = DesiredState(1);
  for (const std::size_t route : {1, 3})
    state["routes"][route]["attempts"] = 3;
  GatewayFixture fleet(state);
  std::atomic<int> runs{0};
  const auto breaks = [&](const Request&) {
    ++runs;
    return Answer{{}, Answer::Then::kReset};
  };
  fleet.AddEngine("i-1", breaks);
  fleet.AddEngine("i-2", breaks);
  const Received received = GENERATE(true, false)
                                ? fleet.Send("/once/")
                                : fleet.Send("/single/", kTokens);
  CHECK(received.status == 502);
  CHECK(runs == 1);
}

TEST_CASE("A stream that breaks off before its first event costs its prompt",
          "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", [](const Request&) {
    return Answer{{}, Answer::Then::kReset};
  });
  REQUIRE(fleet.Send("/single/", kTokens).status == 502);
  fleet.Shutdown();
  fleet.WaitUntil([&fleet] { return fleet.has_left.load(); });
  CHECK(fleet.store.Value("prepaid", "account:painters", "total")["drawn"] ==
        900);
}
