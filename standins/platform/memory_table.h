#ifndef STANDINS_PLATFORM_MEMORY_TABLE_H_
#define STANDINS_PLATFORM_MEMORY_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "dandelionmill/storage/table_store.h"
#include "standins/platform/fault_plan.h"

namespace standins::platform {

// In-memory implementation of the platform's transactional table, used by
// standin-platform and as a fake in unit and property tests. Thread-safe.
class MemoryTable : public dandelionmill::storage::TableStore {
 public:
  using Row = dandelionmill::storage::Row;
  using RowWrite = dandelionmill::storage::RowWrite;
  using Transaction = dandelionmill::storage::Transaction;

  // If `faults` is null, no faults are injected.
  explicit MemoryTable(std::shared_ptr<FaultPlan> faults = nullptr);

  // Errors are those of TableStore. The detail of kStoreConflict is the JSON
  // {"conflicts":[{"key","version","value"}]}.
  dandelionmill::base::Result<Row> Read(const std::string& key) override;
  dandelionmill::base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                                     const std::string& after,
                                                     int limit) override;
  dandelionmill::base::Status Commit(const Transaction& transaction) override;

  // For assertions in tests; not subject to injected faults.
  std::vector<Row> AllRows() const;
  // Returns the number of transactions committed.
  std::int64_t committed() const;

 private:
  Row Find(const std::string& key) const;
  std::vector<Row> Conflicts(const Transaction& transaction) const;
  void Apply(const RowWrite& write);

  const std::shared_ptr<FaultPlan> faults_;
  mutable std::mutex mutex_;
  std::map<std::string, Row> rows_;
  std::int64_t committed_ = 0;
};

}  // namespace standins::platform

#endif  // STANDINS_PLATFORM_MEMORY_TABLE_H_
