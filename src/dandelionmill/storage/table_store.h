#ifndef SRC_DANDELIONMILL_STORAGE_TABLE_STORE_H_
#define SRC_DANDELIONMILL_STORAGE_TABLE_STORE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "dandelionmill/base/result.h"

namespace dandelionmill::storage {

// A row of the platform's table. Version 0 means that the row does not exist;
// each commit that writes the row increments its version.
struct Row {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

// A conditional write to one row: it requires that the row's version equals
// `expected_version`.
struct RowWrite {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
  // Deletes the row instead of writing `value`.
  bool erase = false;
};

// A list of writes that are committed atomically. A write with an empty `value`
// and without `erase` only checks the version.
struct Transaction {
  std::vector<RowWrite> writes;
};

// Queries of the platform's table service. Calls block for up to the timeout of
// the implementation.
class TableReader {
 public:
  virtual ~TableReader() = default;

  // Returns the row, with version 0 when it does not exist. Fails with
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

  // Commits a transaction. Fails with kStoreConflict when a version differs and
  // kStoreUnavailable when the store did not run the request; nothing was
  // written in either case. Fails with kStoreOutcomeUnknown when the
  // transaction may have been committed; the caller should read the rows to
  // find out.
  virtual base::Status Commit(const Transaction& transaction) = 0;
};

class TableStore : public TableReader, public TableWriter {};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_TABLE_STORE_H_
