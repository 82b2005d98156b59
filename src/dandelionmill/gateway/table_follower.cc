#include "dandelionmill/gateway/table_follower.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::gateway {
namespace {

// How long the store holds a call that has no changes to report. Longer waits
// save calls; this one bounds how late a silent connection is noticed.
constexpr std::chrono::milliseconds kWait{1000};

// Longest that an answer may take beyond kWait: ten times the platform's
// stated answer time, and the way there and back between regions.
constexpr std::chrono::milliseconds kAnswerTime{600};

// Pause between two calls that both found changes, so that a series of changes
// is taken up together.
constexpr std::chrono::milliseconds kCoalesce{40};

constexpr std::chrono::milliseconds kFirstRetry{100};
constexpr std::chrono::milliseconds kMaxRetry{250};

}  // namespace

TableFollower::TableFollower(boost::asio::io_context& loop,
                             storage::AsyncTable& table,
                             std::string name,
                             Listener listener)
    : table_(table),
      name_(std::move(name)),
      listener_(std::move(listener)),
      timer_(loop) {}

void TableFollower::Start() {
  ReadAll();
}

void TableFollower::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void TableFollower::ReadPage(const std::string& from_key) {
  call_started_ = std::chrono::steady_clock::now();
  table_.Read(name_, "", from_key, kAnswerTime,
              [this](storage::TableAnswer answer) {
                if (!stopped_)
                  OnPage(std::move(answer));
              });
}

void TableFollower::OnPage(storage::TableAnswer answer) {
  if (answer.outcome != storage::CallOutcome::kDone) {
    OnFailure(answer.detail);
    return;
  }
  if (answer.version < version_) {
    OnFailure("stale read at version " + std::to_string(answer.version));
    return;
  }
  const bool has_more = answer.has_more && !answer.rows.empty();
  // The next page begins after the last key: the smallest text above it.
  const std::string next =
      has_more ? answer.rows.back().key.key + '\x01' : std::string();
  std::move(answer.rows.begin(), answer.rows.end(), std::back_inserter(pages_));
  if (has_more) {
    ReadPage(next);
    return;
  }
  SetReachable(true, "");
  version_ = answer.version;
  has_snapshot_ = true;
  row_versions_.clear();
  for (const storage::VersionedRow& row : pages_)
    row_versions_[row.key.key] = row.version;
  listener_.on_snapshot(pages_);
  pages_.clear();
  Follow();
}

void TableFollower::Follow() {
  if (stopped_)
    return;
  call_started_ = std::chrono::steady_clock::now();
  // After a failure the store is asked for an answer at once, so that its
  // return shows early.
  const std::chrono::milliseconds wait =
      is_reachable_ ? kWait : std::chrono::milliseconds(0);
  table_.Follow(name_, version_, wait, wait + kAnswerTime,
                [this](storage::TableAnswer answer) {
                  if (!stopped_)
                    OnChanges(std::move(answer));
                });
}

void TableFollower::OnChanges(storage::TableAnswer answer) {
  if (answer.outcome == storage::CallOutcome::kHistoryGone) {
    After(kCoalesce, &TableFollower::ReadAll);
    return;
  }
  if (answer.outcome != storage::CallOutcome::kDone) {
    OnFailure(answer.detail);
    return;
  }
  SetReachable(true, "");
  for (const storage::VersionedRow& row : answer.rows) {
    std::uint64_t& seen = row_versions_[row.key.key];
    if (!row.key.part.empty() || (row.version != 0 && row.version <= seen))
      continue;
    seen = row.version;
    listener_.on_row(row);
    version_ = std::max(version_, row.version);
  }
  version_ = std::max(version_, answer.version);
  if (answer.rows.empty())
    Follow();
  else
    After(kCoalesce, &TableFollower::Follow);
}

void TableFollower::OnFailure(const std::string& reason) {
  failed_call_started_ = call_started_;
  SetReachable(false, reason);
  const auto delay = std::min(kMaxRetry, kFirstRetry * (1 << failures_));
  failures_ = std::min(failures_ + 1, 3);
  // Following again is enough: lost history shows as its own outcome.
  After(delay,
        has_snapshot_ ? &TableFollower::Follow : &TableFollower::ReadAll);
}

void TableFollower::SetReachable(bool reachable, const std::string& reason) {
  if (reachable) {
    failures_ = 0;
    last_answer_ = std::chrono::steady_clock::now();
  }
  if (reachable == is_reachable_)
    return;
  is_reachable_ = reachable;
  listener_.on_reachable(reachable, failed_call_started_, reason);
}

void TableFollower::After(std::chrono::milliseconds delay,
                          void (TableFollower::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, next](boost::system::error_code error) {
    if (!error && !stopped_)
      (this->*next)();
  });
}

}  // namespace dandelionmill::gateway
