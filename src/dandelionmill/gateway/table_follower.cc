#include "dandelionmill/gateway/table_follower.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::gateway {
namespace {

// How long the store holds a call without changes. Longer waits save calls, but
// delay the detection of a connection that failed silently.
constexpr std::chrono::milliseconds kLongPollTime{1000};

// Longest time for an answer in addition to kLongPollTime: ten times the
// platform's stated response time, and the round trip between regions.
constexpr std::chrono::milliseconds kAnswerTimeout{600};

// Changes up to this size are always followed; reading the partition saves
// nothing below it.
constexpr std::size_t kMinFeedBytes = 64 << 10;

constexpr std::chrono::milliseconds kMinRetryDelay{100};
constexpr std::chrono::milliseconds kMaxRetryDelay{250};

}  // namespace

TableFollower::TableFollower(boost::asio::io_context& loop,
                             storage::AsyncTable& table,
                             std::string table_name,
                             Listener listener)
    : table_(table),
      table_name_(std::move(table_name)),
      listener_(std::move(listener)),
      timer_(loop) {}

void TableFollower::Start() {
  catch_up_started_ = std::chrono::steady_clock::now();
  ReadNextPage();
}

void TableFollower::BeginCatchUp(const std::string& reason) {
  catch_up_started_ = std::chrono::steady_clock::now();
  catch_up_from_ = version_;
  snapshot_rows_.clear();
  snapshot_bytes_ = 0;
  snapshot_version_ = 0;
  next_page_key_.clear();
  listener_.on_catch_up({false, version_, 0, 0, {}, reason});
}

std::size_t TableFollower::MaxFeedBytes() const {
  return std::max(kMinFeedBytes, 2 * snapshot_bytes_);
}

void TableFollower::Stop() {
  is_stopped_ = true;
  timer_.cancel();
}

void TableFollower::ReadNextPage() {
  StartCall();
  table_.Read(table_name_, "", next_page_key_, kAnswerTimeout,
              [this](storage::TableResponse answer) {
                if (!is_stopped_)
                  OnPage(std::move(answer));
              });
}

bool TableFollower::CheckEra(const storage::TableResponse& answer) {
  if (!answer.era || answer.era == era_)
    return true;
  if (era_ && *answer.era < *era_) {
    OnFailure("response of era " + std::to_string(*answer.era));
    return false;
  }
  const Restore restore{era_.value_or(0), *answer.era, version_, call_started_};
  const bool was_restored = era_ || has_snapshot_;
  era_ = answer.era;
  if (!was_restored)
    return true;
  BeginCatchUp("store restored");
  version_ = 0;
  row_versions_.clear();
  if (listener_.on_restored)
    listener_.on_restored(restore);
  if (answer.outcome == storage::CallOutcome::kDone ||
      answer.outcome == storage::CallOutcome::kHistoryGone) {
    ScheduleAfter(kCoalesceDelay, &TableFollower::ReadNextPage);
  } else {
    OnFailure(answer.detail);
  }
  return false;
}

void TableFollower::OnPage(storage::TableResponse answer) {
  if (!CheckEra(answer))
    return;
  if (answer.outcome != storage::CallOutcome::kDone) {
    OnFailure(answer.detail);
    return;
  }
  if (answer.version < std::max(version_, snapshot_version_)) {
    OnFailure("stale read at version " + std::to_string(answer.version));
    return;
  }
  const bool has_more = answer.has_more && !answer.rows.empty();
  // The next page starts after the last key, at the smallest string above it.
  if (has_more)
    next_page_key_ = answer.rows.back().key.key + '\x01';
  if (snapshot_version_ == 0) {
    snapshot_version_ = answer.version;
    snapshot_started_ = call_started_boot_;
  }
  snapshot_bytes_ += answer.bytes;
  std::move(answer.rows.begin(), answer.rows.end(),
            std::back_inserter(snapshot_rows_));
  if (has_more) {
    ReadNextPage();
    return;
  }
  OnSnapshotRead();
  Follow();
}

void TableFollower::OnSnapshotRead() {
  SetReachable(true, "");
  version_ = snapshot_version_;
  has_snapshot_ = true;
  row_versions_.clear();
  for (const storage::VersionedRow& row : snapshot_rows_)
    row_versions_[row.key.key] = row.version;
  listener_.on_snapshot(snapshot_rows_);
  snapshot_rows_.clear();
  answered_call_started_ = snapshot_started_;
  if (listener_.on_current)
    listener_.on_current(snapshot_started_);
  if (const auto started = std::exchange(catch_up_started_, std::nullopt)) {
    listener_.on_catch_up(
        {true, catch_up_from_, version_, snapshot_bytes_,
         std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - *started),
         ""});
  }
}

void TableFollower::Follow() {
  if (is_stopped_)
    return;
  StartCall();
  // After a failure the call does not wait for changes, so that the recovery of
  // the store is noticed early.
  const std::chrono::milliseconds wait =
      is_reachable_ ? kLongPollTime : std::chrono::milliseconds(0);
  table_.Follow(table_name_, version_, wait, wait + kAnswerTimeout,
                MaxFeedBytes(), [this](storage::TableResponse answer) {
                  if (!is_stopped_)
                    OnChanges(std::move(answer));
                });
}

void TableFollower::OnChanges(storage::TableResponse answer) {
  if (!CheckEra(answer))
    return;
  if (answer.outcome == storage::CallOutcome::kHistoryGone ||
      answer.outcome == storage::CallOutcome::kTooLarge) {
    BeginCatchUp(storage::ToString(answer.outcome));
    ScheduleAfter(kCoalesceDelay, &TableFollower::ReadNextPage);
    return;
  }
  if (answer.outcome != storage::CallOutcome::kDone) {
    // The same changes may break off again, or be malformed again.
    if (answer.outcome == storage::CallOutcome::kUnknown && answer.bytes > 0)
      BeginCatchUp(answer.detail);
    OnFailure(answer.detail);
    return;
  }
  if (answer.malformed_rows > 0) {
    const std::string reason =
        std::to_string(answer.malformed_rows) + " malformed rows";
    BeginCatchUp(reason);
    OnFailure(reason);
    return;
  }
  SetReachable(true, "");
  for (const storage::VersionedRow& row : answer.rows) {
    std::uint64_t& seen_version = row_versions_[row.key.key];
    if (!row.key.part.empty() ||
        (row.version != 0 && row.version <= seen_version))
      continue;
    seen_version = row.version;
    listener_.on_row(row);
    version_ = std::max(version_, row.version);
  }
  version_ = std::max(version_, answer.version);
  ReportCurrent();
  if (answer.rows.empty())
    Follow();
  else
    ScheduleAfter(coalesce_delay_, &TableFollower::Follow);
}

void TableFollower::OnFailure(const std::string& reason) {
  failed_call_started_ = call_started_;
  SetReachable(false, reason);
  const auto delay =
      std::min(kMaxRetryDelay, kMinRetryDelay * std::min(failed_calls_, 3));
  // A snapshot that has begun is completed. Otherwise none is needed:
  // kHistoryGone and kTooLarge report changes that cannot be followed.
  ScheduleAfter(delay, has_snapshot_ && !catch_up_started_
                           ? &TableFollower::Follow
                           : &TableFollower::ReadNextPage);
}

void TableFollower::SetReachable(bool reachable, const std::string& reason) {
  const bool has_changed = reachable != is_reachable_;
  is_reachable_ = reachable;
  if (!reachable)
    ++failed_calls_;
  const base::MonoTime now = std::chrono::steady_clock::now();
  if (has_changed ||
      (!reachable && now - last_report_ >= kFailureReportInterval))
    ReportStatus(has_changed, reason);
  if (reachable) {
    failed_calls_ = 0;
    last_answer_ = now;
  }
}

void TableFollower::StartCall() {
  call_started_ = std::chrono::steady_clock::now();
  call_started_boot_ = base::BootClock::now();
}

void TableFollower::ReportCurrent() {
  answered_call_started_ = call_started_boot_;
  if (!listener_.on_current)
    return;
  const base::BootTime now = base::BootClock::now();
  listener_.on_current(now - call_started_boot_ <=
                               kLongPollTime + kAnswerTimeout
                           ? now
                           : call_started_boot_);
}

void TableFollower::ReportStatus(bool has_changed, const std::string& reason) {
  const base::MonoTime now = std::chrono::steady_clock::now();
  last_report_ = now;
  Status status;
  status.is_reachable = is_reachable_;
  status.has_changed = has_changed;
  status.last_failed_call = failed_call_started_;
  status.failed_calls = failed_calls_;
  if (last_answer_ != base::MonoTime()) {
    status.age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - last_answer_);
  }
  status.version = version_;
  status.reason = reason;
  listener_.on_status(status);
}

void TableFollower::ScheduleAfter(std::chrono::milliseconds delay,
                                  void (TableFollower::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, next](boost::system::error_code error) {
    if (!error && !is_stopped_)
      (this->*next)();
  });
}

}  // namespace dandelionmill::gateway
