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

// Keeps a copy of one part of a table by reading it once and following its
// changes. Every call has a time-out, since a connection can go silent; after
// lost history the part is read anew. Answers older than what is known are
// dropped and asked for again.
class TableFollower {
 public:
  struct Listener {
    // A row is new, has changed or was deleted.
    std::function<void(const storage::VersionedRow&)> on_row;
    // The part was read as a whole: the rows that exist. Rows that were known
    // before and are not among them have been deleted.
    std::function<void(const std::vector<storage::VersionedRow>&)> on_snapshot;
    // The store stopped or started to answer. `since` is the start of the call
    // that failed last: when the store answers again, it was still away then.
    // `reason` is for logs.
    std::function<void(bool is_reachable,
                       base::MonoTime since,
                       const std::string& reason)>
        on_reachable;
  };

  // Follows the part with the empty name. `loop` and `table` must outlive the
  // follower.
  TableFollower(boost::asio::io_context& loop,
                storage::AsyncTable& table,
                std::string name,
                Listener listener);

  // Commands.
  void Start();
  void Stop();

  // Queries.
  bool is_reachable() const { return is_reachable_; }
  bool has_snapshot() const { return has_snapshot_; }
  std::uint64_t version() const { return version_; }
  // When the store last answered.
  base::MonoTime last_answer() const { return last_answer_; }

 private:
  void ReadPage(const std::string& from_key);
  void OnPage(storage::TableAnswer answer);
  void Follow();
  void OnChanges(storage::TableAnswer answer);
  void OnFailure(const std::string& reason);
  void SetReachable(bool reachable, const std::string& reason);
  void After(std::chrono::milliseconds delay, void (TableFollower::*next)());
  void ReadAll() { pages_.clear(), ReadPage(""); }

  storage::AsyncTable& table_;
  const std::string name_;
  const Listener listener_;
  boost::asio::steady_timer timer_;
  std::uint64_t version_ = 0;
  bool has_snapshot_ = false;
  bool is_reachable_ = true;
  bool stopped_ = false;
  int failures_ = 0;
  base::MonoTime call_started_{};
  base::MonoTime failed_call_started_{};
  base::MonoTime last_answer_{};
  std::vector<storage::VersionedRow> pages_;
  // Newest version seen of each row, so that an old answer changes nothing.
  std::map<std::string, std::uint64_t> row_versions_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_TABLE_FOLLOWER_H_
