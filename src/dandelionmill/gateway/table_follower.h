#ifndef SRC_DANDELIONMILL_GATEWAY_TABLE_FOLLOWER_H_
#define SRC_DANDELIONMILL_GATEWAY_TABLE_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::gateway {

// Follows one partition of a table: reads it once, then long-polls for changes.
// Every call has a timeout, since a connection can fail silently. The partition
// is read again if the store no longer has the history of changes. Stale
// answers are discarded and the call is repeated.
class TableFollower {
 public:
  struct Listener {
    // A row was added, changed or deleted.
    std::function<void(const storage::VersionedRow&)> on_row;
    // The whole partition was read. Rows that are not included have been
    // deleted.
    std::function<void(const std::vector<storage::VersionedRow>&)> on_snapshot;
    // The store became unreachable or reachable. `since` is the start of the
    // last failed call, when the store was still unreachable. `reason` is for
    // logs.
    std::function<void(bool is_reachable,
                       base::MonoTime since,
                       const std::string& reason)>
        on_reachability_changed;
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

  // Queries.
  bool is_reachable() const { return is_reachable_; }
  bool has_snapshot() const { return has_snapshot_; }
  std::uint64_t version() const { return version_; }
  // When the store last answered a call successfully.
  base::MonoTime last_answer() const { return last_answer_; }

 private:
  void ReadPage(const std::string& from_key);
  void OnPage(storage::TableResponse answer);
  void Follow();
  void OnChanges(storage::TableResponse answer);
  void OnFailure(const std::string& reason);
  void SetReachable(bool reachable, const std::string& reason);
  void ScheduleAfter(std::chrono::milliseconds delay,
                     void (TableFollower::*next)());
  void ReadAll() { snapshot_rows_.clear(), ReadPage(""); }

  storage::AsyncTable& table_;
  const std::string table_name_;
  const Listener listener_;
  boost::asio::steady_timer timer_;
  std::uint64_t version_ = 0;
  bool has_snapshot_ = false;
  bool is_reachable_ = true;
  bool is_stopped_ = false;
  int consecutive_failures_ = 0;
  base::MonoTime call_started_{};
  base::MonoTime failed_call_started_{};
  base::MonoTime last_answer_{};
  std::vector<storage::VersionedRow> snapshot_rows_;
  // Newest version seen of each row; older versions are ignored.
  std::map<std::string, std::uint64_t> row_versions_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_TABLE_FOLLOWER_H_
