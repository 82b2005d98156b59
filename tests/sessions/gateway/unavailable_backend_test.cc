#include "tests/sessions/gateway/gateway_fixture.h"

namespace gateway_test {
namespace {

using std::chrono::steady_clock;

// A request that is on its way when the backend server asks for a pause may
// still arrive, and two more are tolerated afterwards.
constexpr milliseconds kTransitTime{500};
constexpr std::size_t kMaxArrivalsInPause = 2;

// A backend server that rejects requests with 503 and Retry-After for as long
// as it is unavailable.
class UnavailableEngine {
 public:
  explicit UnavailableEngine(milliseconds length) : length_(length) {}

  Answer AnswerTo(const Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = steady_clock::now();
    if (!ends_at_)
      ends_at_ = now + length_;
    if (now < *ends_at_ && now - (*ends_at_ - length_) > kTransitTime)
      ++arrivals_in_pause_;
    if (now >= *ends_at_) {
      ++arrivals_after_;
      return ScriptedEngine::CompleteAnswer(request, 200, "unavailable");
    }
    return ScriptedEngine::Unavailable(
        request, std::chrono::duration_cast<milliseconds>(*ends_at_ - now));
  }
  std::size_t arrivals_in_pause() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_in_pause_;
  }
  std::size_t arrivals_after() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_after_;
  }
  bool has_ended() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ends_at_ && steady_clock::now() > *ends_at_;
  }

 private:
  const milliseconds length_;
  std::mutex mutex_;
  std::optional<steady_clock::time_point> ends_at_;
  std::size_t arrivals_in_pause_ = 0;
  std::size_t arrivals_after_ = 0;
};

}  // namespace

// Guards against overload of a backend server that has asked for a pause.
TEST_CASE("A backend server gets at most two requests in the pause it asks for",
          "[gateway]") {
  GatewayFixture fixture;
  UnavailableEngine unavailable(milliseconds(1800));
  fixture.AddEngine("unavailable", [&](const Request& request) {
    return unavailable.AnswerTo(request);
  });
  ScriptedEngine& other =
      fixture.AddEngine("other", [](const Request& request) {
        return ScriptedEngine::CompleteAnswer(request, 200, "other");
      });
  fixture.WaitUntil([&] {
    const Received received = fixture.Send("/safe/x");
    // A request that was turned away goes to the other one at once.
    CHECK(received.status == 200);
    return unavailable.has_ended();
  });
  CHECK(unavailable.arrivals_in_pause() <= kMaxArrivalsInPause);
  CHECK(other.requests().size() > 20);
  fixture.WaitUntil([&] {
    CHECK(fixture.Send("/safe/x").status == 200);
    return unavailable.arrivals_after() > 10;
  });
}

TEST_CASE(
    "Requests are rejected at once while all backend servers ask for a pause",
    "[gateway]") {
  GatewayFixture fixture;
  UnavailableEngine unavailable(milliseconds(2000));
  ScriptedEngine& engine = fixture.AddEngine(
      "unavailable",
      [&](const Request& request) { return unavailable.AnswerTo(request); });
  CHECK(fixture.Send("/safe/x").status == 503);
  const auto begin = steady_clock::now();
  const Received refused = fixture.Send("/safe/x");
  CHECK(steady_clock::now() - begin < milliseconds(200));
  CHECK(refused.status == 503);
  // The caller learns when the backend server accepts requests again.
  REQUIRE(refused.fields.count("Retry-After") == 1);
  CHECK(std::stod(refused.fields.at("Retry-After")) > 1.5);
  CHECK(std::stod(refused.fields.at("Retry-After")) < 2.6);
  CHECK(engine.requests().size() == 1);
}

}  // namespace gateway_test
