#include <deque>

#include "tests/sessions/gateway/gateway_fixture.h"

namespace gateway_test {
namespace {

using std::chrono::steady_clock;

constexpr int kColdPerS = 4;
// The most requests that may arrive in one second while it is cold.
constexpr std::size_t kAllowed = 11;
constexpr milliseconds kColdTime{3000};

json ColdState() {
  json state = DesiredState(1);
  state["services"][0]["coldStartS"] = 3;
  state["services"][0]["coldPerS"] = kColdPerS;
  return state;
}

// An engine that reports its cold state in health responses only.
class ColdEngine {
 public:
  Answer AnswerTo(const Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = steady_clock::now();
    const Answer answer = ScriptedEngine::CompleteAnswer(request, 200, "cold");
    if (request.target() == "/health") {
      return now < cold_until_
                 ? ScriptedEngine::Cold(answer, std::chrono::ceil<milliseconds>(
                                                    cold_until_ - now))
                 : answer;
    }
    ++served_;
    if (now < cold_until_) {
      arrivals_.push_back(now);
      while (arrivals_.front() <= now - std::chrono::seconds(1))
        arrivals_.pop_front();
      most_in_second_ = std::max(most_in_second_, arrivals_.size());
    }
    return answer;
  }
  void BeginColdState() {
    const std::lock_guard<std::mutex> lock(mutex_);
    cold_until_ = steady_clock::now() + kColdTime;
  }
  bool is_cold() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return steady_clock::now() < cold_until_;
  }
  int served() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return served_;
  }
  std::size_t most_in_second() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return most_in_second_;
  }

 private:
  std::mutex mutex_;
  steady_clock::time_point cold_until_{};
  std::deque<steady_clock::time_point> arrivals_;
  std::size_t most_in_second_ = 0;
  int served_ = 0;
};

}  // namespace

// Guards against a burst at a server that was restarted under the same id,
// while its entry still shows the earlier start.
TEST_CASE("A restarted server gets few requests until it is warm",
          "[gateway]") {
  GatewayFixture fixture(ColdState());
  ColdEngine engine;
  const auto script = [&engine](const Request& request) {
    return engine.AnswerTo(request);
  };
  fixture.AddEngine("engine", script);
  CHECK(fixture.Send("/once/x").status == 200);
  // From then on the instance counts on the list of the others.
  std::this_thread::sleep_for(milliseconds(6500));
  CHECK(fixture.Send("/once/x").status == 200);

  engine.BeginColdState();
  fixture.RestartEngine("engine", script, 2);
  const int before = engine.served();
  while (engine.is_cold()) {
    const Received received = fixture.Send("/once/x");
    CHECK((received.status == 200 || received.status == 503));
    if (received.status == 503)
      CHECK(received.fields.count("Retry-After") == 1);
    std::this_thread::sleep_for(milliseconds(2));
  }
  CHECK(engine.most_in_second() <= kAllowed);
  CHECK(engine.served() > before);
  fixture.WaitUntil([&] {
    const int served = engine.served();
    for (int i = 0; i < 50; ++i)
      fixture.Send("/once/x");
    return engine.served() == served + 50;
  });
}

TEST_CASE("Without a limit for cold servers no health check is made",
          "[gateway]") {
  GatewayFixture fixture;
  ColdEngine engine;
  auto& scripted = fixture.AddEngine("engine", [&](const Request& request) {
    return engine.AnswerTo(request);
  });
  engine.BeginColdState();
  for (int i = 0; i < 20; ++i)
    CHECK(fixture.Send("/once/x").status == 200);
  for (const Request& request : scripted.requests())
    CHECK(request.target() != "/health");
}

}  // namespace gateway_test
