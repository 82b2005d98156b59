#ifndef TESTS_UNIT_CONTROL_BUDGET_FAKE_PLATFORM_H_
#define TESTS_UNIT_CONTROL_BUDGET_FAKE_PLATFORM_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "dandelionmill/control/platform_io.h"

// An in-memory table that can be set to be unavailable or to lose replies.
class FakeTable : public dandelionmill::storage::TableStore {
 public:
  using Row = dandelionmill::storage::Row;
  using Error = dandelionmill::base::Error;
  using Code = dandelionmill::base::Code;

  dandelionmill::base::Result<Row> Read(const std::string& key) override {
    std::lock_guard<std::mutex> lock(mutex_);
    if (down_)
      return Error{Code::kStoreUnavailable, "down"};
    return Find(key);
  }

  dandelionmill::base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                                     const std::string& after,
                                                     int) override {
    std::lock_guard<std::mutex> lock(mutex_);
    if (down_)
      return Error{Code::kStoreUnavailable, "down"};
    std::vector<Row> rows;
    for (const auto& [key, row] : rows_) {
      if (key.compare(0, prefix.size(), prefix) == 0 && key > after)
        rows.push_back(row);
    }
    return rows;
  }

  dandelionmill::base::Status Commit(
      const dandelionmill::storage::Transaction& transaction) override {
    std::lock_guard<std::mutex> lock(mutex_);
    if (down_)
      return Error{Code::kStoreUnavailable, "down"};
    for (const auto& write : transaction.writes) {
      if (Find(write.key).version != write.expected_version)
        return Error{Code::kStoreConflict, write.key};
    }
    for (const auto& write : transaction.writes) {
      if (!write.value.empty())
        rows_[write.key] = {write.key, write.expected_version + 1, write.value};
    }
    ++commits_;
    if (lost_replies_ > 0) {
      --lost_replies_;
      return Error{Code::kStoreOutcomeUnknown, "lost"};
    }
    return dandelionmill::base::Unit{};
  }

  void SetDown(bool down) {
    std::lock_guard<std::mutex> lock(mutex_);
    down_ = down;
  }
  // Makes the next `count` commits take effect but fail with
  // kStoreOutcomeUnknown.
  void LoseReplies(int count) {
    std::lock_guard<std::mutex> lock(mutex_);
    lost_replies_ = count;
  }
  int commits() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return commits_;
  }

 private:
  Row Find(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? Row{key, 0, ""} : found->second;
  }

  mutable std::mutex mutex_;
  std::map<std::string, Row> rows_;
  bool down_ = false;
  int lost_replies_ = 0;
  int commits_ = 0;
};

class FakeObjects : public dandelionmill::storage::ObjectStore {
 public:
  dandelionmill::base::Result<std::string> Get(
      const std::string& name) override {
    std::lock_guard<std::mutex> lock(mutex_);
    return objects_[name];
  }
  dandelionmill::base::Result<std::vector<std::string>> List(const std::string&,
                                                             const std::string&,
                                                             int) override {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [name, content] : objects_)
      names.push_back(name);
    return names;
  }
  dandelionmill::base::Status Put(const std::string& name,
                                  const std::string& content) override {
    std::lock_guard<std::mutex> lock(mutex_);
    objects_[name] = content;
    return dandelionmill::base::Unit{};
  }
  std::string All() const {
    std::lock_guard<std::mutex> lock(mutex_);
    std::string all;
    for (const auto& [name, content] : objects_)
      all += content;
    return all;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

// Queue of the functions that PlatformIo posts to the control thread.
class Loop {
 public:
  void Post(std::function<void()> run) {
    std::lock_guard<std::mutex> lock(mutex_);
    posted_.push_back(std::move(run));
  }
  // Removes and returns the next posted function, or an empty one.
  std::function<void()> Take() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (posted_.empty())
      return nullptr;
    std::function<void()> run = std::move(posted_.front());
    posted_.pop_front();
    return run;
  }

 private:
  std::mutex mutex_;
  std::deque<std::function<void()>> posted_;
};

// A PlatformIo on fake stores, with one thread so that calls run in order.
struct FakePlatform {
  explicit FakePlatform(std::shared_ptr<FakeTable> shared_table)
      : table(std::move(shared_table)),
        io(table, objects, nullptr, 1, [this](std::function<void()> run) {
          loop.Post(std::move(run));
        }) {}

  // Runs the completion of the next call in progress and waits for it if
  // necessary. Returns false when no call is in progress.
  bool RunNextCompletion() {
    while (true) {
      // When no call is in progress, all completions have been posted.
      const bool is_idle = io.calls_in_progress() == 0;
      if (const std::function<void()> run = loop.Take()) {
        run();
        return true;
      }
      if (is_idle)
        return false;
      std::this_thread::yield();
    }
  }

  Loop loop;
  std::shared_ptr<FakeTable> table;
  std::shared_ptr<FakeObjects> objects = std::make_shared<FakeObjects>();
  dandelionmill::control::PlatformIo io;
};

#endif  // TESTS_UNIT_CONTROL_BUDGET_FAKE_PLATFORM_H_
