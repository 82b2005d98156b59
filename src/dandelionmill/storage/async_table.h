#ifndef SRC_DANDELIONMILL_STORAGE_ASYNC_TABLE_H_
#define SRC_DANDELIONMILL_STORAGE_ASYNC_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dandelionmill::storage {

// Identifies a row. Changing rows of the same part in one commit is cheap.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;
};

// A row and the version of the store that last changed it. Versions apply to
// the whole store and increase with each commit.
struct VersionedRow {
  RowKey key;
  std::string value;
  std::uint64_t version = 0;
  // The row was deleted; `value` is empty.
  bool deleted = false;
};

// An atomic change of several rows.
struct RowChange {
  struct Expected {
    RowKey key;
    // 0 when the row must not exist.
    std::uint64_t version = 0;
  };
  struct Put {
    RowKey key;
    std::string value;
  };
  std::vector<Expected> expected;
  std::vector<Put> puts;
  std::vector<RowKey> deletes;
};

enum class CallOutcome {
  kDone,
  // A row's version differs from the expected one. Nothing was written; the
  // response contains the current rows.
  kConflict,
  // The store has discarded the requested history.
  kHistoryGone,
  // The response exceeds the size limit of the call.
  kTooLarge,
  // The store did not perform the call.
  kNotPerformed,
  // No response: the call may have been performed, or may be performed later.
  kUnknown,
};

// Returns the name for logs, such as "not_performed".
const char* ToString(CallOutcome outcome);

struct TableResponse {
  CallOutcome outcome = CallOutcome::kUnknown;
  std::vector<VersionedRow> rows;
  // Whether there are more rows after the last one.
  bool has_more = false;
  // Newest version of the store that the response reflects.
  std::uint64_t version = 0;
  // Number of times that the store was restored from an older copy. Versions
  // are comparable only within one era, and commits of earlier eras may be
  // lost. Not set if the response does not name it.
  std::optional<std::uint64_t> era;
  // Reading of the store's monotonic clock at the time of the response.
  std::chrono::milliseconds store_time{0};
  // Reason for an outcome other than kDone, for logs.
  std::string detail;
  // Rows that could not be decoded and are left out of `rows`.
  int malformed_rows = 0;
  // Received bytes of the response's body, also if the call failed.
  std::size_t bytes = 0;
};

// Asynchronous client of the platform's table service. Each handler runs once,
// on the event loop, never from within the call itself. `timeout` is the
// longest time until a response begins; one that is arriving is waited for.
class AsyncTable {
 public:
  using Handler = std::function<void(TableResponse)>;

  virtual ~AsyncTable() = default;

  // Command. Commits `change`. The implementation never retries it.
  virtual void Commit(RowChange change,
                      std::chrono::milliseconds timeout,
                      Handler handler) = 0;

  // Queries.
  // Reads the rows of one part whose keys are equal to or after `from_key`.
  virtual void Read(const std::string& table,
                    const std::string& part,
                    const std::string& from_key,
                    std::chrono::milliseconds timeout,
                    Handler handler) = 0;
  // Reads one row. The response has no rows if it does not exist.
  virtual void ReadRow(const RowKey& key,
                       std::chrono::milliseconds timeout,
                       Handler handler) = 0;
  // Waits up to `wait` for rows of `table` that changed after `version`. Fails
  // with kHistoryGone when the store has discarded the changes since then, and
  // with kTooLarge when they take more than `max_bytes`.
  virtual void Follow(const std::string& table,
                      std::uint64_t version,
                      std::chrono::milliseconds wait,
                      std::chrono::milliseconds timeout,
                      std::size_t max_bytes,
                      Handler handler) = 0;
};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_ASYNC_TABLE_H_
