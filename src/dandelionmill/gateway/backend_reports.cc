#include "dandelionmill/gateway/backend_reports.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/base/json_numbers.h"
#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kWriteTimeout{600};

// Rows of one transaction; the store accepts 100.
constexpr std::size_t kMaxRowsPerWrite = 50;

// Rows that wait for the store, and how long they do.
constexpr std::size_t kMaxPendingRows = 1000;
constexpr std::chrono::minutes kMaxPendingTime{2};

// Rows that are kept to be written again, and values of each: enough to tell an
// earlier value of a restored row from a new one.
constexpr std::size_t kMaxKnownRows = 2000;
constexpr std::size_t kMaxKnownValues = 8;

// Entries of each kind in one row, so that it stays well below the size limit
// of the store.
constexpr std::size_t kMaxEntries = 300;

// Thrown by the readers of fields; DecodeReportRow converts it to an Error.
struct DecodeError {
  std::string detail;
};

std::int64_t ReadInteger(const json& row, const char* name) {
  const auto integer = base::ToJsonInteger(row.at(name));
  if (!integer)
    throw DecodeError{std::string("field \"") + name + "\" is no integer"};
  return *integer;
}

// Other types would be read as a list with nothing or themselves in it.
const json& ReadList(const json& row, const char* name) {
  const json& list = row.at(name);
  if (!list.is_array())
    throw DecodeError{std::string("field \"") + name + "\" is no list"};
  return list;
}

RequestLimits::Observation ReadLimit(const json& row) {
  RequestLimits::Observation observation;
  observation.backend = base::BackendId(row.at("backend").get<std::string>());
  observation.process.listed = ReadInteger(row, "incarnation");
  const json& limit = row.at("requests_per_s");
  if (limit.is_null())
    return observation;
  const double requests_per_s = limit.is_number() ? limit.get<double>() : -1;
  if (requests_per_s < 0)
    throw DecodeError{"field \"requests_per_s\" is no rate"};
  observation.requests_per_s = requests_per_s;
  return observation;
}

CrashGuard::Report ReadReport(const json& row) {
  CrashGuard::Report report;
  report.backend = base::BackendId(row.at("backend").get<std::string>());
  for (const json& digest : ReadList(row, "requests"))
    report.digests.push_back(digest.get<std::string>());
  for (const json& part : ReadList(row, "parts"))
    report.parts.push_back(
        {part.at("id").get<std::string>(), part.at("repeated").get<bool>()});
  return report;
}

}  // namespace

std::string EncodeReportRow(const ReportRow& row) {
  json value = {{"process", row.process}, {"number", row.number}};
  const auto encode_report = [&value](const CrashGuard::Report& report) {
    value["backend"] = report.backend.value();
    value["requests"] = json::array();
    value["parts"] = json::array();
    for (const std::string& digest : report.digests) {
      if (value["requests"].size() < kMaxEntries)
        value["requests"].push_back(digest);
    }
    for (const CrashGuard::Report::Part& part : report.parts) {
      if (value["parts"].size() < kMaxEntries)
        value["parts"].push_back(
            {{"id", part.id}, {"repeated", part.is_repeated}});
    }
  };
  const auto encode_clearance =
      [&value](const CrashGuard::Clearance& clearance) {
        value["answered_part"] = clearance.part;
        value["after_crashes"] = clearance.is_after_crashes;
      };
  const auto encode_limit =
      [&value](const RequestLimits::Observation& observation) {
        value["backend"] = observation.backend.value();
        value["incarnation"] =
            observation.process.reported.value_or(observation.process.listed);
        value["requests_per_s"] = observation.requests_per_s
                                      ? json(*observation.requests_per_s)
                                      : json(nullptr);
      };
  std::visit(base::Overloaded{encode_report, encode_clearance, encode_limit},
             row.content);
  return value.dump();
}

base::Result<ReportRow> DecodeReportRow(const std::string& value) {
  try {
    const json decoded = json::parse(value);
    ReportRow row;
    row.process = decoded.at("process").get<std::string>();
    if (decoded.contains("number"))
      row.number = static_cast<std::uint64_t>(ReadInteger(decoded, "number"));
    if (decoded.contains("answered_part")) {
      row.content =
          CrashGuard::Clearance{decoded["answered_part"].get<std::string>(),
                                decoded.at("after_crashes").get<bool>()};
    } else if (decoded.contains("requests_per_s")) {
      row.content = ReadLimit(decoded);
    } else {
      row.content = ReadReport(decoded);
    }
    return row;
  } catch (const DecodeError& error) {
    return base::Error{base::Code::kMalformedRequest, error.detail};
  } catch (const json::exception& problem) {
    return base::Error{base::Code::kMalformedRequest, problem.what()};
  }
}

void BackendReports::Add(std::string key,
                         std::string value,
                         base::MonoTime now) {
  pending_.push_back(
      {{{kTable, "", std::move(key)}, std::move(value)}, now, std::nullopt});
}

void BackendReports::Publish(base::MonoTime now) {
  for (CrashGuard::Report& report : guard_.TakeReports()) {
    log::Event(log::Level::kWarning, "crash_suspected")
        .With("backend", report.backend)
        .With("requests", report.digests.size())
        .With("parts", report.parts.size());
    const std::uint64_t number = next_report_++;
    const std::string key = "crash " + report.backend.value() + " " + process_ +
                            " " + std::to_string(number);
    Add(key, EncodeReportRow({process_, std::move(report), number}), now);
  }
  for (CrashGuard::Clearance& clearance : guard_.TakeClearances(now)) {
    log::Event(log::Level::kInfo, "prompt_part_cleared")
        .With("part", clearance.part)
        .With("after_crashes", clearance.is_after_crashes);
    const std::string key =
        (clearance.is_after_crashes ? "cleared " : "answered ") +
        clearance.part;
    Add(key, EncodeReportRow({process_, std::move(clearance), next_report_++}),
        now);
  }
  for (const RequestLimits::Observation& observation :
       limits_.TakeObservations()) {
    Add("limit " + observation.backend.value(),
        EncodeReportRow({process_, observation, next_report_++}), now);
  }
  std::size_t dropped = 0;
  while (
      pending_.size() > kMaxPendingRows ||
      (!pending_.empty() && now - pending_.front().since > kMaxPendingTime)) {
    pending_.pop_front();
    ++dropped;
  }
  if (dropped > 0)
    log::Event(log::Level::kWarning, "backend_reports_dropped")
        .With("rows", dropped);
  WritePending();
}

void BackendReports::WritePending() {
  if (is_writing_ || pending_.empty())
    return;
  is_writing_ = true;
  storage::RowChange change;
  while (!pending_.empty() && change.puts.size() < kMaxRowsPerWrite) {
    const Pending& next = pending_.front();
    change.puts.push_back(next.put);
    if (next.expected_version)
      change.expected.push_back({next.put.key, *next.expected_version});
    written_.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  table_.Commit(std::move(change), kWriteTimeout,
                [this](storage::TableResponse answer) { OnWritten(answer); });
}

void BackendReports::OnWritten(const storage::TableResponse& answer) {
  is_writing_ = false;
  std::vector<Pending> written = std::exchange(written_, {});
  if (answer.outcome == storage::CallOutcome::kDone) {
    for (const Pending& row : written)
      Remember(row.put.key.key, row.put.value);
    return;
  }
  if (answer.outcome == storage::CallOutcome::kConflict) {
    // Another instance has written some of the rows.
    std::map<std::string, std::uint64_t> versions;
    for (const storage::VersionedRow& row : answer.rows)
      versions[row.key.key] = row.deleted ? 0 : row.version;
    const auto is_superseded = [&versions](const Pending& row) {
      const auto found = versions.find(row.put.key.key);
      const std::uint64_t version = found == versions.end() ? 0 : found->second;
      return row.expected_version && *row.expected_version != version;
    };
    written.erase(std::remove_if(written.begin(), written.end(), is_superseded),
                  written.end());
  } else {
    log::Event(log::Level::kWarning, "reports_not_shared")
        .With("rows", written.size())
        .With("detail", answer.detail);
  }
  // Writing the same rows twice does no harm.
  pending_.insert(pending_.begin(), std::make_move_iterator(written.begin()),
                  std::make_move_iterator(written.end()));
}

bool BackendReports::Remember(const std::string& key,
                              const std::string& value) {
  const auto [row, is_new_row] = known_.try_emplace(key);
  std::vector<std::string>& values = row->second;
  if (std::find(values.begin(), values.end(), value) != values.end())
    return false;
  values.push_back(value);
  if (values.size() > kMaxKnownValues)
    values.erase(values.begin());
  if (is_new_row) {
    known_keys_.push_back(key);
    if (known_keys_.size() > kMaxKnownRows) {
      known_.erase(known_keys_.front());
      known_keys_.pop_front();
    }
  }
  return true;
}

void BackendReports::RewriteLostRows(
    const std::vector<storage::VersionedRow>& rows,
    base::MonoTime now) {
  std::map<std::string, const storage::VersionedRow*> stored;
  for (const storage::VersionedRow& row : rows)
    stored[row.key.key] = &row;
  std::size_t lost = 0;
  for (const auto& [key, values] : known_) {
    const auto found = stored.find(key);
    // The newest known value and values that are not known are kept.
    const auto newest = std::prev(values.end());
    const bool is_lost =
        found == stored.end() ||
        std::find(values.begin(), newest, found->second->value) != newest;
    if (!is_lost)
      continue;
    ++lost;
    pending_.push_back({{{kTable, "", key}, *newest},
                        now,
                        found == stored.end() ? 0 : found->second->version});
  }
  if (lost > 0)
    log::Event(log::Level::kWarning, "reports_rewritten").With("rows", lost);
}

void BackendReports::OnRow(const storage::VersionedRow& row,
                           base::MonoTime now) {
  if (row.deleted || !Remember(row.key.key, row.value))
    return;
  const auto decoded = DecodeReportRow(row.value);
  if (!base::IsOk(decoded)) {
    log::Event(log::Level::kWarning, "report_row_rejected")
        .With("key", row.key.key)
        .With(base::ErrorOf(decoded));
    return;
  }
  const ReportRow& report_row = base::ValueOf(decoded);
  if (report_row.process != process_)
    MergeRow(report_row, now);
}

void BackendReports::MergeRow(const ReportRow& report_row, base::MonoTime now) {
  ++merged_rows_;
  std::visit(
      base::Overloaded{[&](const CrashGuard::Report& report) {
                         guard_.MergeReport(report, merged_rows_, now);
                       },
                       [&](const CrashGuard::Clearance& clearance) {
                         guard_.MergeClearance(clearance, merged_rows_);
                       },
                       [&](const RequestLimits::Observation& observation) {
                         if (!limits_.MergeObservation(observation, now))
                           return;
                         log::Event(log::Level::kInfo, "backend_limit_shared")
                             .With("backend", observation.backend)
                             .With("from", report_row.process)
                             .With("requests_per_s",
                                   observation.requests_per_s.value_or(0));
                       }},
      report_row.content);
}

void BackendReports::OnRows(std::vector<storage::VersionedRow> rows,
                            base::MonoTime now) {
  RewriteLostRows(rows, now);
  // A clearance applies to the reports before it.
  std::sort(rows.begin(), rows.end(),
            [](const storage::VersionedRow& a, const storage::VersionedRow& b) {
              return a.version < b.version;
            });
  for (const storage::VersionedRow& row : rows)
    OnRow(row, now);
}

}  // namespace dandelionmill::gateway
