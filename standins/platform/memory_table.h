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

// The platform's transactional table in memory: the core of standin-platform
// and the fake of unit and property tests. Safe from any thread.
class MemoryTable : public dandelionmill::storage::TableStore {
 public:
  using Row = dandelionmill::storage::Row;
  using RowWrite = dandelionmill::storage::RowWrite;
  using Transaction = dandelionmill::storage::Transaction;

  // Without `faults` no call fails.
  explicit MemoryTable(std::shared_ptr<FaultPlan> faults = nullptr);

  // Errors as declared by TableStore. The detail of kStoreConflict is the JSON
  // {"conflicts":[{"key","version","value"}]}.
  dandelionmill::base::Result<Row> Read(const std::string& key) override;
  dandelionmill::base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                                     const std::string& after,
                                                     int limit) override;
  dandelionmill::base::Status Commit(const Transaction& transaction) override;

  // Queries for checks; they meet no faults.
  std::vector<Row> AllRows() const;
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
