#ifndef SRC_DANDELIONMILL_STORAGE_ASYNC_TABLE_H_
#define SRC_DANDELIONMILL_STORAGE_ASYNC_TABLE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dandelionmill::storage {

// Names one row. Rows of one part can change together cheaply.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;
};

// One row as of a version of the whole store; versions grow with each commit.
struct VersionedRow {
  RowKey key;
  std::string value;
  std::uint64_t version = 0;
  // The row was deleted; `value` is empty.
  bool deleted = false;
};

// A change that takes effect as a whole or not at all.
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
  // A row had another version than expected; the answer holds the rows as they
  // are. Nothing was written.
  kConflict,
  // The store no longer has the history that was asked for.
  kHistoryGone,
  // The store did not perform the call.
  kNotPerformed,
  // No answer: the call may have been performed, or may be performed later.
  kUnknown,
};

const char* ToString(CallOutcome outcome);

struct TableAnswer {
  CallOutcome outcome = CallOutcome::kUnknown;
  std::vector<VersionedRow> rows;
  // More rows follow the last one.
  bool has_more = false;
  // Newest version of the store that the answer covers.
  std::uint64_t version = 0;
  // The store's steady clock when it answered.
  std::chrono::milliseconds store_time{0};
  // Why there is no better outcome; for logs.
  std::string detail;
};

// The platform's table service, called without blocking. Each handler runs
// once, from the event loop, never from within the call itself.
class AsyncTable {
 public:
  using Handler = std::function<void(TableAnswer)>;

  virtual ~AsyncTable() = default;

  // Command. Never repeated by the implementation.
  virtual void Commit(RowChange change,
                      std::chrono::milliseconds timeout,
                      Handler handler) = 0;

  // Queries.
  // Reads the rows of one part whose keys are not before `from_key`.
  virtual void Read(const std::string& table,
                    const std::string& part,
                    const std::string& from_key,
                    std::chrono::milliseconds timeout,
                    Handler handler) = 0;
  // Waits up to `wait` for rows that changed after `version`.
  virtual void Follow(const std::string& table,
                      std::uint64_t version,
                      std::chrono::milliseconds wait,
                      std::chrono::milliseconds timeout,
                      Handler handler) = 0;
};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_ASYNC_TABLE_H_
