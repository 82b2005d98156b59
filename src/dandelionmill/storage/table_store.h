#ifndef SRC_DANDELIONMILL_STORAGE_TABLE_STORE_H_
#define SRC_DANDELIONMILL_STORAGE_TABLE_STORE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "dandelionmill/base/result.h"

namespace dandelionmill::storage {

// One row of the platform's table. Version 0 means that there is no such row;
// each commit that writes a row raises its version by one.
struct Row {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

// What a transaction writes to one row, on condition that its version is still
// `expected_version`.
struct RowWrite {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
  // Deletes the row instead of writing `value`.
  bool erase = false;
};

// The rows are written all together or not at all. A write whose `value` is
// empty and `erase` false only checks the version.
struct Transaction {
  std::vector<RowWrite> writes;
};

// Queries of the platform's table service. Calls block up to the timeout given
// to the adapter.
class TableReader {
 public:
  virtual ~TableReader() = default;

  // Returns the row, with version 0 when there is none. Fails with
  // kStoreUnavailable.
  virtual base::Result<Row> Read(const std::string& key) = 0;

  // Returns up to `limit` rows (1 to 1000) in key order whose keys start with
  // `prefix` and come after `after`. Fails with kStoreUnavailable.
  virtual base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                              const std::string& after,
                                              int limit) = 0;
};

// Commands of the platform's table service.
class TableWriter {
 public:
  virtual ~TableWriter() = default;

  // Commits. Fails with kStoreConflict when a version differs (nothing was
  // written), kStoreUnavailable when the request surely did not reach the
  // store, and kStoreOutcomeUnknown when it may have taken effect: read back.
  virtual base::Status Commit(const Transaction& transaction) = 0;
};

class TableStore : public TableReader, public TableWriter {};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_TABLE_STORE_H_
