#ifndef SRC_DANDELIONMILL_GATEWAY_TABLE_FOLLOWER_H_
#define SRC_DANDELIONMILL_GATEWAY_TABLE_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::gateway {

// Follows one partition of a table: reads it once, then long-polls for changes.
// Every call has a timeout, since a connection can fail silently. The partition
// is read again if the store no longer has the history of changes, or if the
// changes take more bytes than the partition, so that the time to catch up does
// not depend on how much has changed. Stale answers are discarded and the call
// is repeated. After the store was restored from an older copy, versions start
// from an earlier one, so the partition is read again in the new era.
class TableFollower {
 public:
  // The pause after an answer with changes if no other is set.
  static constexpr std::chrono::milliseconds kCoalesceDelay{40};

  // Longest time between two reports of a table that stays unreachable.
  static constexpr std::chrono::milliseconds kFailureReportInterval{2000};

  // Whether the table can be read.
  struct Status {
    bool is_reachable = true;
    // Whether `is_reachable` differs from the report before.
    bool has_changed = true;
    // Start of the last failed call, when the store was still unreachable.
    base::MonoTime last_failed_call{};
    // Calls that failed since the table was last reachable.
    int failed_calls = 0;
    // Time since the last successful answer.
    std::chrono::milliseconds age{0};
    // Newest version of the store that was read.
    std::uint64_t version = 0;
    // Why the last call failed; empty while reachable. For logs.
    std::string reason;
  };

  // The start or the end of a full read of the partition.
  struct CatchUp {
    bool is_complete = false;
    // Version of the store from which the changes are missing.
    std::uint64_t from_version = 0;
    // Version that was read; 0 at the start.
    std::uint64_t version = 0;
    // Size of the partition as received; 0 at the start.
    std::size_t bytes = 0;
    // Time since the start.
    std::chrono::milliseconds duration{0};
    // Why the changes cannot be followed; empty at the end. For logs.
    std::string reason;
  };

  // The store's return from an older copy of its content.
  struct Restore {
    std::uint64_t from_era = 0;
    std::uint64_t era = 0;
    // Newest version that was read before.
    std::uint64_t last_version = 0;
    // Start of the call that showed it. The store was restored before its
    // response.
    base::MonoTime call_started{};
  };

  struct Listener {
    // A row was added, changed or deleted.
    std::function<void(const storage::VersionedRow&)> on_row;
    // The whole partition was read. Rows that are not included have been
    // deleted.
    std::function<void(const std::vector<storage::VersionedRow>&)> on_snapshot;
    // The store became unreachable or reachable, or is still unreachable after
    // kFailureReportInterval.
    std::function<void(const Status&)> on_status;
    // The changes since the last report can no longer be followed and the whole
    // partition is read, or that read or the first one has completed.
    std::function<void(const CatchUp&)> on_catch_up;
    // Optional. All changes up to `as_of` have been reported.
    std::function<void(base::BootTime as_of)> on_current;
    // Optional. The store was restored from an older copy: changes that were
    // reported before may be lost, and the next snapshot may be older.
    std::function<void(const Restore&)> on_restored;
  };

  // Follows the partition with the empty name. `loop` and `table` must outlive
  // the follower.
  TableFollower(boost::asio::io_context& loop,
                storage::AsyncTable& table,
                std::string table_name,
                Listener listener);

  // Commands.
  void Start();
  void Stop();
  // Sets the pause after an answer with changes, in which a series of them
  // comes together.
  void SetCoalesceDelay(std::chrono::milliseconds delay) {
    coalesce_delay_ = delay;
  }

  // Queries.
  bool is_reachable() const { return is_reachable_; }
  bool has_snapshot() const { return has_snapshot_; }
  std::uint64_t version() const { return version_; }
  // When the store last answered a call successfully.
  base::MonoTime last_answer() const { return last_answer_; }
  // Start of the latest call whose answer is complete: changes before it have
  // been reported.
  base::BootTime answered_call_started() const {
    return answered_call_started_;
  }

 private:
  // Reads the next page of the partition, or repeats the one that failed.
  void ReadNextPage();
  void OnPage(storage::TableResponse answer);
  void Follow();
  void OnChanges(storage::TableResponse answer);
  void OnFailure(const std::string& reason);
  // Compares the era of a response with the known one. Returns false if the
  // response cannot be used; the next call is scheduled then.
  bool CheckEra(const storage::TableResponse& answer);
  void StartCall();
  void SetReachable(bool reachable, const std::string& reason);
  // Reports what is known as current, as of the answer to the last call; or of
  // the call itself if the answer took so long that it may have been waiting.
  void ReportCurrent();
  void ReportStatus(bool has_changed, const std::string& reason);
  void ScheduleAfter(std::chrono::milliseconds delay,
                     void (TableFollower::*next)());
  // Prepares a full read, since the changes cannot be followed.
  void BeginCatchUp(const std::string& reason);
  void OnSnapshotRead();
  // Largest answer with changes that is read instead of the whole partition.
  std::size_t MaxFeedBytes() const;

  storage::AsyncTable& table_;
  const std::string table_name_;
  const Listener listener_;
  boost::asio::steady_timer timer_;
  std::uint64_t version_ = 0;
  bool has_snapshot_ = false;
  std::chrono::milliseconds coalesce_delay_ = kCoalesceDelay;
  bool is_reachable_ = true;
  bool is_stopped_ = false;
  int failed_calls_ = 0;
  base::MonoTime last_report_{};
  base::MonoTime call_started_{};
  // The same time on a clock that counts suspension.
  base::BootTime call_started_boot_{};
  base::BootTime answered_call_started_{};
  base::MonoTime failed_call_started_{};
  base::MonoTime last_answer_{};
  std::vector<storage::VersionedRow> snapshot_rows_;
  std::size_t snapshot_bytes_ = 0;
  // Version of the first page. Rows may change while later pages are read, so
  // the changes are followed from here.
  std::uint64_t snapshot_version_ = 0;
  base::BootTime snapshot_started_{};
  std::string next_page_key_;
  // Set during the first full read, and while one replaces changes that could
  // not be followed.
  std::optional<base::MonoTime> catch_up_started_;
  std::uint64_t catch_up_from_ = 0;
  // Era of the store to which the versions belong; not set if unknown.
  std::optional<std::uint64_t> era_;
  // Newest version seen of each row; older versions are ignored.
  std::map<std::string, std::uint64_t> row_versions_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_TABLE_FOLLOWER_H_
