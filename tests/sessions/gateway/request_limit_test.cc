#include "tests/sessions/gateway/gateway_fixture.h"

namespace gateway_test {
namespace {

using std::chrono::steady_clock;

constexpr double kLimit = 1;  // Requests per second.
constexpr milliseconds kWindow{4000};
// A backend server tolerates one and a half times its limit and a few requests
// more in each window, from some time after it first named the limit.
constexpr double kAllowed =
    1.5 * kLimit * std::chrono::duration<double>(kWindow).count() + 5;
constexpr milliseconds kSettleTime{3000};

// A backend server that names a limit, and when requests arrived there.
class LimitedEngine {
 public:
  Answer AnswerTo(const Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.push_back(steady_clock::now());
    Answer answer = ScriptedEngine::CompleteAnswer(request, 200, "limited");
    return is_limited_ ? ScriptedEngine::Limited(std::move(answer), kLimit)
                       : answer;
  }
  void EndLimit() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_limited_ = false;
  }
  std::size_t arrivals() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_.size();
  }
  // Returns the most requests that arrived in a window, after the settle time.
  std::size_t MostInWindow() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t most = 0;
    for (const auto begin : arrivals_) {
      if (begin < arrivals_.front() + kSettleTime)
        continue;
      most = std::max<std::size_t>(
          most, std::count_if(arrivals_.begin(), arrivals_.end(), [&](auto at) {
            return at >= begin && at < begin + kWindow;
          }));
    }
    return most;
  }

 private:
  std::mutex mutex_;
  std::vector<steady_clock::time_point> arrivals_;
  bool is_limited_ = true;
};

// Sends one request after the other for `length`. Returns how many were not
// served.
int SendRequests(GatewayFixture& fixture, milliseconds length) {
  const auto end = steady_clock::now() + length;
  int failures = 0;
  while (steady_clock::now() < end) {
    if (fixture.Send("/once/x").status != 200)
      ++failures;
    std::this_thread::sleep_for(milliseconds(40));
  }
  return failures;
}

}  // namespace

// Guards against overload of a backend server in need, which names the rate of
// requests that it accepts from all instances.
TEST_CASE("A backend server gets no more requests than the limit it names",
          "[gateway]") {
  GatewayFixture fixture;
  LimitedEngine limited;
  fixture.AddEngine("limited", [&](const Request& request) {
    return limited.AnswerTo(request);
  });
  fixture.AddEngine("other", [](const Request& request) {
    return ScriptedEngine::CompleteAnswer(request, 200, "other");
  });
  CHECK(SendRequests(fixture, kSettleTime + 2 * kWindow) == 0);
  CHECK(limited.MostInWindow() <= kAllowed);
  CHECK(limited.MostInWindow() >= 1);
}

}  // namespace gateway_test
