#ifndef TESTS_SUPPORT_FAKE_TABLE_H_
#define TESTS_SUPPORT_FAKE_TABLE_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "dandelionmill/storage/async_table.h"

namespace tests {

// The platform's table in memory. Answers come with the next turn of the loop
// unless a fault is set.
class FakeTable : public dandelionmill::storage::AsyncTable {
 public:
  using Answer = dandelionmill::storage::TableResponse;
  using Outcome = dandelionmill::storage::CallOutcome;

  explicit FakeTable(boost::asio::io_context& loop) : loop_(loop) {}

  void Commit(dandelionmill::storage::RowChange change,
              std::chrono::milliseconds,
              Handler handler) override {
    if (latency_.count() > 0) {
      // The other transactions of the meantime come first.
      const std::chrono::milliseconds wait =
          latency_ / 2 + WaitForParts(change);
      After(wait, [this, change = std::move(change),
                   handler = std::move(handler)]() mutable {
        Reply(Apply(change), std::move(handler));
      });
      return;
    }
    Answer answer;
    if (failing_) {
      answer.outcome = *failing_;
    } else if (lose_performed_) {
      if (*std::exchange(lose_performed_, std::nullopt))
        Apply(change);
      answer.outcome = Outcome::kUnknown;
    } else {
      answer = Apply(change);
    }
    Reply(std::move(answer), std::move(handler));
  }

  void Read(const std::string& table,
            const std::string& part,
            const std::string& from_key,
            std::chrono::milliseconds,
            Handler handler) override {
    ++reads_;
    Answer answer = Done();
    if (failing_) {
      answer.outcome = *failing_;
    } else if (failing_read_ && reads_ == *failing_read_) {
      answer.outcome = Outcome::kUnknown;
    } else {
      for (const auto& [key, row] : rows_) {
        if (std::get<0>(key) == table && std::get<1>(key) == part &&
            std::get<2>(key) >= from_key && !row.deleted) {
          if (answer.rows.size() == page_rows_) {
            answer.has_more = true;
            break;
          }
          answer.rows.push_back(row);
          answer.bytes += row.value.size();
        }
      }
      answer.version = stale_version_.value_or(version_);
    }
    Reply(std::move(answer), std::move(handler));
    if (after_read_)
      after_read_(reads_);
  }

  void ReadRow(const dandelionmill::storage::RowKey& key,
               std::chrono::milliseconds,
               Handler handler) override {
    Answer answer = Done();
    const auto found = rows_.find({key.table, key.part, key.key});
    if (failing_)
      answer.outcome = *failing_;
    else if (found != rows_.end() && !found->second.deleted)
      answer.rows.push_back(found->second);
    Reply(std::move(answer), std::move(handler));
  }

  void Follow(const std::string& table,
              std::uint64_t version,
              std::chrono::milliseconds wait,
              std::chrono::milliseconds,
              std::size_t max_bytes,
              Handler handler) override {
    Answer answer = Done();
    if (failing_) {
      answer.outcome = *failing_;
    } else if (break_next_feed_) {
      break_next_feed_ = false;
      answer = Answer();
      answer.bytes = 1;
      answer.detail = "broken off";
    } else if (refuse_next_feed_) {
      refuse_next_feed_ = false;
      answer = Answer();
      answer.outcome = Outcome::kNotPerformed;
      answer.bytes = 1;
    } else if (version < history_begin_ || version > version_) {
      answer.outcome = Outcome::kHistoryGone;
    } else {
      for (const auto& [key, row] : rows_) {
        if (std::get<0>(key) == table && row.version > version) {
          answer.rows.push_back(row);
          answer.bytes += row.value.size();
        }
      }
      if (drop_rows_of_next_feed_ && !answer.rows.empty()) {
        drop_rows_of_next_feed_ = false;
        answer.malformed_rows = static_cast<int>(answer.rows.size());
        answer.rows.clear();
      }
      if (answer.bytes > max_bytes) {
        answer = Answer();
        answer.outcome = Outcome::kTooLarge;
      } else if (answer.rows.empty() && answer.malformed_rows == 0 &&
                 wait.count() > 0) {
        // Held until there is something, as a long poll is.
        followers_.push_back({table, version, max_bytes, std::move(handler)});
        return;
      }
    }
    Reply(std::move(answer), std::move(handler));
  }

  void Put(const std::string& table,
           const std::string& part,
           const std::string& key,
           const std::string& value) {
    dandelionmill::storage::VersionedRow& row = rows_[{table, part, key}];
    row.key = {table, part, key};
    row.value = value;
    row.deleted = false;
    row.version = ++version_;
    Wake(table);
  }

  void Delete(const std::string& table, const std::string& key) {
    dandelionmill::storage::VersionedRow& row = rows_[{table, "", key}];
    row.key = {table, "", key};
    row.value.clear();
    row.deleted = true;
    row.version = ++version_;
    Wake(table);
  }

  std::string Value(const std::string& table,
                    const std::string& part,
                    const std::string& key) const {
    const auto found = rows_.find({table, part, key});
    return found == rows_.end() ? "" : found->second.value;
  }

  // The answer of the next commit is lost, with or without its effect.
  void LoseNextCommit(bool performed) { lose_performed_ = performed; }
  void FailAll(std::optional<Outcome> outcome) {
    failing_ = outcome;
    if (!outcome)
      return;
    for (auto& follower : std::exchange(followers_, {})) {
      Answer answer;
      answer.outcome = *outcome;
      Reply(std::move(answer), std::move(follower.handler));
    }
  }
  // Time from a call to its answer; commits take effect half-way. Those of one
  // part follow each other, `service` apart.
  void SetLatency(std::chrono::milliseconds latency,
                  std::chrono::milliseconds service = {}) {
    latency_ = latency;
    service_ = service;
  }
  // Reads return this number of rows at a time.
  void SetPageRows(std::size_t rows) { page_rows_ = rows; }
  // The read with this number, counted from 1, fails.
  void FailRead(int number) { failing_read_ = number; }
  // Calls `action` with the number of each read once its answer is determined.
  void AfterRead(std::function<void(int)> action) {
    after_read_ = std::move(action);
  }
  // The answer to the next feed call breaks off after its first byte.
  void BreakNextFeed() { break_next_feed_ = true; }
  // The next feed call is refused, with a body.
  void RefuseNextFeed() { refuse_next_feed_ = true; }
  // The rows of the next feed answer with changes cannot be decoded.
  void DropRowsOfNextFeed() { drop_rows_of_next_feed_ = true; }
  int reads() const { return reads_; }
  // Takes a copy of all rows, which Restore brings back in a new era.
  void TakeCopy() { copy_ = {rows_, version_}; }
  void Restore() {
    rows_ = copy_.rows;
    versions_before_ += version_ - copy_.version;
    version_ = copy_.version;
    ++era_;
    for (auto& follower : std::exchange(followers_, {})) {
      Answer answer = Done();
      answer.outcome = Outcome::kHistoryGone;
      Reply(std::move(answer), std::move(follower.handler));
    }
  }
  void ForgetHistory() { history_begin_ = ++version_; }
  void AnswerReadsWithVersion(std::optional<std::uint64_t> version) {
    stale_version_ = version;
  }
  // Handlers that have not run are forgotten, as when their process dies.
  void DropCalls() {
    followers_.clear();
    ++generation_;
  }
  std::uint64_t version() const { return version_; }
  int conflicts() const { return conflicts_; }

 private:
  struct Follower {
    std::string table;
    std::uint64_t version;
    std::size_t max_bytes;
    Handler handler;
  };

  Answer Done() const {
    Answer answer;
    answer.outcome = Outcome::kDone;
    answer.version = version_;
    answer.era = era_;
    answer.store_time =
        std::chrono::milliseconds(100000 + versions_before_ + version_);
    return answer;
  }

  Answer Apply(const dandelionmill::storage::RowChange& change) {
    bool conflict = false;
    Answer answer = Done();
    for (const auto& item : change.expected) {
      const auto found =
          rows_.find({item.key.table, item.key.part, item.key.key});
      const bool exists = found != rows_.end() && !found->second.deleted;
      if ((exists ? found->second.version : 0) != item.version)
        conflict = true;
      if (exists)
        answer.rows.push_back(found->second);
    }
    if (conflict) {
      ++conflicts_;
      answer.outcome = Outcome::kConflict;
      return answer;
    }
    ++version_;
    for (const auto& item : change.puts)
      rows_[{item.key.table, item.key.part, item.key.key}] = {
          item.key, item.value, version_, false};
    for (const auto& key : change.deletes)
      rows_[{key.table, key.part, key.key}] = {key, "", version_, true};
    answer = Done();
    return answer;
  }

  // Returns how long a commit queues for the parts that it touches.
  std::chrono::milliseconds WaitForParts(
      const dandelionmill::storage::RowChange& change) {
    const auto now = std::chrono::steady_clock::now();
    auto begins = now;
    for (const auto& item : change.expected)
      begins = std::max(begins, busy_until_[item.key.part]);
    for (const auto& item : change.expected)
      busy_until_[item.key.part] = begins + service_;
    return std::chrono::duration_cast<std::chrono::milliseconds>(begins - now);
  }

  void Reply(Answer answer, Handler handler) {
    After(latency_ / 2,
          [this, generation = generation_, answer = std::move(answer),
           handler = std::move(handler)] {
            if (generation == generation_)
              handler(answer);
          });
  }

  template <class Action>
  void After(std::chrono::milliseconds time, Action action) {
    if (time.count() == 0) {
      boost::asio::post(loop_, std::move(action));
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, time);
    timer->async_wait([timer, action = std::move(action)](
                          boost::system::error_code) mutable { action(); });
  }

  void Wake(const std::string& table) {
    for (auto& follower : std::exchange(followers_, {})) {
      if (follower.table == table)
        Follow(table, follower.version, std::chrono::milliseconds(1), {},
               follower.max_bytes, std::move(follower.handler));
      else
        followers_.push_back(std::move(follower));
    }
  }

  using Rows = std::map<std::tuple<std::string, std::string, std::string>,
                        dandelionmill::storage::VersionedRow>;
  struct Copy {
    Rows rows;
    std::uint64_t version = 0;
  };

  boost::asio::io_context& loop_;
  Rows rows_;
  Copy copy_;
  std::uint64_t era_ = 0;
  // Versions that were given out and lost by Restore.
  std::uint64_t versions_before_ = 0;
  std::vector<Follower> followers_;
  std::uint64_t version_ = 0;
  std::uint64_t history_begin_ = 0;
  std::optional<std::uint64_t> stale_version_;
  std::optional<Outcome> failing_;
  std::optional<bool> lose_performed_;
  int conflicts_ = 0;
  std::size_t page_rows_ = 500;
  int reads_ = 0;
  std::optional<int> failing_read_;
  std::function<void(int)> after_read_;
  bool break_next_feed_ = false;
  bool refuse_next_feed_ = false;
  bool drop_rows_of_next_feed_ = false;
  int generation_ = 0;
  std::chrono::milliseconds latency_{0};
  std::chrono::milliseconds service_{0};
  std::map<std::string, std::chrono::steady_clock::time_point> busy_until_;
};

}  // namespace tests

#endif  // TESTS_SUPPORT_FAKE_TABLE_H_
