#include "standins/platform/memory_table.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace standins::platform {
namespace {

using dandelionmill::base::Code;
using dandelionmill::base::Error;

std::string ToJson(const std::vector<dandelionmill::storage::Row>& conflicts) {
  nlohmann::json json = {{"conflicts", nlohmann::json::array()}};
  for (const auto& row : conflicts) {
    json["conflicts"].push_back(
        {{"key", row.key}, {"version", row.version}, {"value", row.value}});
  }
  return json.dump();
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

MemoryTable::MemoryTable(std::shared_ptr<FaultPlan> faults)
    : faults_(faults ? std::move(faults) : std::make_shared<FaultPlan>()) {}

dandelionmill::base::Result<MemoryTable::Row> MemoryTable::Read(
    const std::string& key) {
  if (faults_->IsDown())
    return Error{Code::kStoreUnavailable, "the table is down"};
  std::lock_guard<std::mutex> lock(mutex_);
  return Find(key);
}

dandelionmill::base::Result<std::vector<MemoryTable::Row>> MemoryTable::Scan(
    const std::string& prefix,
    const std::string& after,
    int limit) {
  if (faults_->IsDown())
    return Error{Code::kStoreUnavailable, "the table is down"};
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Row> found;
  auto row =
      after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
  for (; row != rows_.end() && static_cast<int>(found.size()) < limit; ++row) {
    if (!StartsWith(row->first, prefix))
      break;
    found.push_back(row->second);
  }
  return found;
}

dandelionmill::base::Status MemoryTable::Commit(
    const Transaction& transaction) {
  const CommandFault fault = faults_->NextCommandFault();
  if (fault == CommandFault::kUnavailable)
    return Error{Code::kStoreUnavailable, "the table is down"};
  const Error unknown{Code::kStoreOutcomeUnknown, "the answer was lost"};
  if (fault == CommandFault::kLoseRequest)
    return unknown;
  std::lock_guard<std::mutex> lock(mutex_);
  const std::vector<Row> conflicts = Conflicts(transaction);
  if (conflicts.empty()) {
    for (const RowWrite& write : transaction.writes)
      Apply(write);
    ++committed_;
  }
  if (fault == CommandFault::kLoseAnswer)
    return unknown;
  if (!conflicts.empty())
    return Error{Code::kStoreConflict, ToJson(conflicts)};
  return dandelionmill::base::Unit{};
}

std::vector<MemoryTable::Row> MemoryTable::AllRows() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Row> rows;
  for (const auto& [key, row] : rows_)
    rows.push_back(row);
  return rows;
}

std::int64_t MemoryTable::committed() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return committed_;
}

MemoryTable::Row MemoryTable::Find(const std::string& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? Row{key, 0, ""} : row->second;
}

std::vector<MemoryTable::Row> MemoryTable::Conflicts(
    const Transaction& transaction) const {
  std::vector<Row> conflicts;
  for (const RowWrite& write : transaction.writes) {
    Row row = Find(write.key);
    if (row.version != write.expected_version)
      conflicts.push_back(std::move(row));
  }
  return conflicts;
}

void MemoryTable::Apply(const RowWrite& write) {
  if (write.erase) {
    rows_.erase(write.key);
  } else if (!write.value.empty()) {
    rows_[write.key] = {write.key, write.expected_version + 1, write.value};
  }
}

}  // namespace standins::platform
