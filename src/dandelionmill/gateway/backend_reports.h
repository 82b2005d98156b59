#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_REPORTS_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_REPORTS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/crash_guard.h"
#include "dandelionmill/gateway/request_limits.h"

#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::gateway {

// A decoded row.
struct ReportRow {
  std::string process;
  std::variant<CrashGuard::Report,
               CrashGuard::Clearance,
               RequestLimits::Observation>
      content;
  // Number of the report within its process, so that a row that is written
  // again differs from a new report.
  std::uint64_t number = 0;
};

// Exchanges with the other instances what this one observes of backend servers,
// through a table of the store: crashes, clearances of prompt parts, and
// changes of request limits. Rows that a restored store has lost are written
// again by whichever instance knows them.
class BackendReports {
 public:
  static constexpr char kTable[] = "crashes";

  // `guard`, `limits` and `table` must outlive this. `process` identifies this
  // process and its start.
  BackendReports(CrashGuard& guard,
                 RequestLimits& limits,
                 storage::AsyncTable& table,
                 std::string process)
      : guard_(guard),
        limits_(limits),
        table_(table),
        process_(std::move(process)) {}

  // Commands.
  // Writes what was observed since the last call, and again what
  // could not be written then.
  void Publish(base::MonoTime now);
  // Merges a row that was added or changed.
  void OnRow(const storage::VersionedRow& row, base::MonoTime now);
  // Merges the rows of a full read that were not known before; the others would
  // be kept for longer each time. Known rows that it lacks, or has with an
  // earlier value, are written again.
  void OnRows(std::vector<storage::VersionedRow> rows, base::MonoTime now);

 private:
  struct Pending {
    storage::RowChange::Put put;
    base::MonoTime since;
    // The version that the row must have; not set if it is written in any case.
    std::optional<std::uint64_t> expected_version;
  };
  // Records a value of a row. Returns false if it was known.
  bool Remember(const std::string& key, const std::string& value);
  void RewriteLostRows(const std::vector<storage::VersionedRow>& rows,
                       base::MonoTime now);
  void MergeRow(const ReportRow& report_row, base::MonoTime now);
  void OnWritten(const storage::TableResponse& answer);

  void Add(std::string key, std::string value, base::MonoTime now);
  void WritePending();

  CrashGuard& guard_;
  RequestLimits& limits_;
  storage::AsyncTable& table_;
  const std::string process_;
  std::deque<Pending> pending_;
  // The rows of the transaction in progress.
  std::vector<Pending> written_;
  bool is_writing_ = false;
  std::uint64_t next_report_ = 1;
  // The last values of each row that was written or read, oldest first.
  std::map<std::string, std::vector<std::string>> known_;
  // The keys of `known_` in the order in which they were added.
  std::deque<std::string> known_keys_;
  // Orders the merged rows. Unlike versions, it never goes back.
  std::uint64_t merged_rows_ = 0;
};

// Encodes the value of a row.
std::string EncodeReportRow(const ReportRow& row);
// Fails with kMalformedRequest when the value cannot be read.
base::Result<ReportRow> DecodeReportRow(const std::string& value);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_REPORTS_H_
