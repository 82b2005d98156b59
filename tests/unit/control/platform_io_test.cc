#include "dandelionmill/control/platform_io.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>

#include "dandelionmill/storage/circuit_breaker.h"

namespace dandelionmill::control {
namespace {

// A table that can be set to fail and counts its calls.
class FailingTable : public storage::TableStore {
 public:
  base::Result<storage::Row> Read(const std::string& key) override {
    ++calls;
    if (down)
      return base::Error{base::Code::kStoreUnavailable, "down"};
    return storage::Row{key, 1, "value"};
  }
  base::Result<std::vector<storage::Row>> Scan(const std::string&,
                                               const std::string&,
                                               int) override {
    return std::vector<storage::Row>{};
  }
  base::Status Commit(const storage::Transaction&) override {
    ++calls;
    return base::Error{base::Code::kStoreConflict, "conflict"};
  }

  std::atomic<int> calls{0};
  std::atomic<bool> down{false};
};

// Runs posted functions on the test's thread.
class Loop {
 public:
  void Post(std::function<void()> run) {
    std::lock_guard<std::mutex> lock(mutex_);
    posted_.push_back(std::move(run));
    added_.notify_one();
  }
  void RunOne() {
    std::unique_lock<std::mutex> lock(mutex_);
    added_.wait(lock, [this] { return !posted_.empty(); });
    const std::function<void()> run = std::move(posted_.front());
    posted_.erase(posted_.begin());
    lock.unlock();
    run();
  }

 private:
  std::mutex mutex_;
  std::condition_variable added_;
  std::vector<std::function<void()>> posted_;
};

}  // namespace

TEST_CASE("Calls to an unavailable table fail without being sent",
          "[control]") {
  const auto table = std::make_shared<FailingTable>();
  Loop loop;
  PlatformIo platform(
      table, nullptr, nullptr, 1,
      [&](std::function<void()> run) { loop.Post(std::move(run)); });
  const auto read = [&] {
    base::Result<storage::Row> outcome = base::Error{};
    platform.Read("key", [&](const base::Result<storage::Row>& result) {
      outcome = result;
    });
    loop.RunOne();
    return outcome;
  };
  table->down = true;
  for (int i = 0; i < storage::CircuitBreaker::kFailuresToOpen; ++i)
    CHECK(base::ErrorOf(read()).detail == "down");
  const int calls_to_open = table->calls;
  CHECK(calls_to_open == storage::CircuitBreaker::kFailuresToOpen);

  SECTION("at most one probe in a burst reaches the table") {
    constexpr int kBurst = 20;
    for (int i = 0; i < kBurst; ++i)
      CHECK(base::ErrorOf(read()).code == base::Code::kStoreUnavailable);
    CHECK(table->calls < calls_to_open + kBurst);
  }
  SECTION("calls succeed again after the table has recovered") {
    table->down = false;
    while (!base::IsOk(read()))
      continue;
    CHECK(base::IsOk(read()));
  }
  SECTION("a conflict does not count as a failure of the table") {
    table->down = false;
    while (!base::IsOk(read()))
      continue;
    for (int i = 0; i < 2 * storage::CircuitBreaker::kFailuresToOpen; ++i) {
      platform.Commit({}, [](const base::Status& status) {
        CHECK(base::ErrorOf(status).code == base::Code::kStoreConflict);
      });
      loop.RunOne();
    }
  }
}

}  // namespace dandelionmill::control
