#include "dandelionmill/gateway/stream_records.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCallTimeout{600};

// Rows of one transaction, and deleted rows of one; the store accepts 100 in
// all.
constexpr std::size_t kMaxPuts = 50;
constexpr std::size_t kMaxDeletes = 40;

// Rows that wait for the store; the oldest are dropped.
constexpr std::size_t kMaxUnwritten = 1000;

// How often the row of a service with several versions is written.
constexpr std::chrono::seconds kServiceRowInterval{5};

// A service counts as one that may have had several versions for this long
// after its row was last written.
constexpr std::chrono::milliseconds kMixedMemory =
    StreamVersions::kMemory + kServiceRowInterval;

storage::RowKey StreamKey(const base::AttemptId& attempt) {
  return {StreamRecords::kTable, "", "stream " + attempt.value()};
}

storage::RowKey ServiceKey(const base::ServiceId& service) {
  return {StreamRecords::kTable, "", "service " + service.value()};
}

// A row without a version says that the version is unknown.
std::string Encode(const std::optional<std::string>& version,
                   std::chrono::milliseconds at) {
  json row = {{"at_ms", at.count()}};
  if (version)
    row["version"] = *version;
  return row.dump();
}

// Returns the store's time at which the row was written; 0 if malformed.
std::chrono::milliseconds WrittenAt(const json& row) {
  return std::chrono::milliseconds(row.is_object() && row.contains("at_ms") &&
                                           row["at_ms"].is_number_integer()
                                       ? row["at_ms"].get<std::int64_t>()
                                       : 0);
}

}  // namespace

std::chrono::milliseconds StreamRecords::EstimateStoreTime(
    base::MonoTime now) const {
  return store_time_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - store_time_received_at_);
}

void StreamRecords::AddMixedServices(storage::RowChange& change,
                                     base::MonoTime now) {
  for (const base::ServiceId& service : service_versions_.MixedServices()) {
    base::MonoTime& written_at = service_row_written_at_[service];
    if (now - written_at < kServiceRowInterval)
      continue;
    written_at = now;
    change.puts.push_back(
        {ServiceKey(service), Encode("", EstimateStoreTime(now))});
  }
}

void StreamRecords::OnBegun(const base::AttemptId& attempt,
                            StreamVersions::Beginning beginning,
                            base::MonoTime now) {
  const base::ServiceId service = beginning.service;
  versions_.OnBegun(attempt, std::move(beginning), now);
  if (service_versions_.NeedsStreamRows(service))
    SchedulePublish(now);
}

void StreamRecords::SchedulePublish(base::MonoTime now) {
  if (std::exchange(is_scheduled_, true))
    return;
  timer_.expires_at(std::max(now, published_at_ + min_interval_));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    is_scheduled_ = false;
    Publish(steady_clock::now());
  });
}

void StreamRecords::Tick(base::MonoTime now) {
  if (now - published_at_ >= min_interval_)
    Publish(now);
}

void StreamRecords::Publish(base::MonoTime now) {
  if (is_writing_) {
    is_behind_ = true;
    return;
  }
  published_at_ = now;
  storage::RowChange change;
  AddMixedServices(change, now);
  std::vector<storage::RowChange::Put> streams = std::exchange(unwritten_, {});
  for (const StreamVersions::Begun& begun :
       versions_.TakeUnshared(kMaxPuts, service_versions_)) {
    const storage::RowKey key = StreamKey(begun.attempt);
    // An earlier row of the stream that was not written is outdated.
    streams.erase(std::remove_if(streams.begin(), streams.end(),
                                 [&key](const storage::RowChange::Put& put) {
                                   return put.key.key == key.key;
                                 }),
                  streams.end());
    streams.push_back({key, Encode(begun.version, EstimateStoreTime(now))});
  }
  while (!streams.empty() && change.puts.size() < kMaxPuts) {
    change.puts.push_back(std::move(streams.back()));
    streams.pop_back();
  }
  if (streams.size() > kMaxUnwritten) {
    log::Event(log::Level::kWarning, "stream_records_dropped")
        .With("rows", streams.size() - kMaxUnwritten);
    streams.erase(streams.begin(), streams.end() - kMaxUnwritten);
  }
  unwritten_ = std::move(streams);
  while (!written_.empty() && now - written_.front().at > kLifetime &&
         change.deletes.size() < kMaxDeletes) {
    change.deletes.push_back(written_.front().key);
    written_.pop_front();
  }
  if (change.puts.empty() && change.deletes.empty())
    return;
  is_writing_ = true;
  table_.Commit(
      change, kCallTimeout, [this, change](storage::TableResponse answer) {
        is_writing_ = false;
        const base::MonoTime at = steady_clock::now();
        if (answer.store_time.count() != 0) {
          store_time_ = answer.store_time;
          store_time_received_at_ = at;
        }
        const bool is_done = answer.outcome == storage::CallOutcome::kDone;
        if (!is_done) {
          log::Event(log::Level::kWarning, "stream_records_not_written")
              .With("rows", change.puts.size())
              .With("detail", answer.detail);
          service_row_written_at_.clear();
        }
        for (const storage::RowChange::Put& put : change.puts) {
          if (put.key.key.rfind("stream ", 0) != 0)
            continue;
          if (is_done)
            written_.push_back({put.key, at});
          else
            unwritten_.push_back(put);
        }
        if (std::exchange(is_behind_, false) && is_done)
          SchedulePublish(at);
      });
}

void StreamRecords::DeleteOldRows() {
  table_.Read(kTable, "", "stream ", kCallTimeout,
              [this](storage::TableResponse answer) {
                storage::RowChange change;
                for (const storage::VersionedRow& row : answer.rows) {
                  const auto at =
                      WrittenAt(json::parse(row.value, nullptr, false));
                  if (answer.store_time - at > 2 * kLifetime &&
                      change.deletes.size() < kMaxDeletes)
                    change.deletes.push_back(row.key);
                }
                if (change.deletes.empty())
                  return;
                table_.Commit(
                    std::move(change), kCallTimeout,
                    [](storage::TableResponse deleted) {
                      log::Event(log::Level::kInfo, "stream_records_deleted")
                          .With("outcome", storage::ToString(deleted.outcome));
                    });
              });
}

const char* StreamRecords::ToString(Found::Source source) {
  switch (source) {
    case Found::Source::kOwnStream:
      return "own_stream";
    case Found::Source::kOnlyVersion:
      return "only_version";
    case Found::Source::kRecord:
      return "record";
  }
  return "unknown";
}

void StreamRecords::Find(const base::AttemptId& attempt,
                         const base::ServiceId& service,
                         Handler handler) {
  if (versions_.HasBegun(attempt)) {
    const auto version = versions_.VersionOf(attempt, base::BootClock::now());
    if (version)
      handler(Found{*version, Found::Source::kOwnStream});
    else
      handler(Unknown());
    return;
  }
  version_records_.Judge(service, [this, attempt, service,
                                   handler = std::move(handler)](
                                      const VersionRecords::Result& result) {
    const auto* judgement = std::get_if<ServiceVersions::Judgement>(&result);
    if (judgement == nullptr) {
      handler(StoreUnavailable());
      return;
    }
    std::visit(base::Overloaded{[&](const ServiceVersions::Only& only) {
                                  OnOnlyVersion(service, only.version, handler);
                                },
                                [&](const ServiceVersions::Several&) {
                                  ReadStreamRow(attempt, Unknown(), handler);
                                },
                                [&](const ServiceVersions::Incomplete&) {
                                  // The records will be complete soon.
                                  ReadStreamRow(attempt, StoreUnavailable(),
                                                handler);
                                }},
               *judgement);
  });
}

void StreamRecords::ReadStreamRow(const base::AttemptId& attempt,
                                  Result if_missing,
                                  Handler handler) {
  table_.ReadRow(
      StreamKey(attempt), kCallTimeout,
      [if_missing = std::move(if_missing),
       handler = std::move(handler)](const storage::TableResponse& answer) {
        if (answer.outcome != storage::CallOutcome::kDone) {
          handler(StoreUnavailable());
          return;
        }
        if (answer.rows.empty()) {
          handler(if_missing);
          return;
        }
        const json value =
            json::parse(answer.rows.front().value, nullptr, false);
        if (value.is_object() && value.contains("version") &&
            value["version"].is_string()) {
          handler(Found{value["version"].get<std::string>(),
                        Found::Source::kRecord});
        } else {
          handler(Unknown());
        }
      });
}

void StreamRecords::OnOnlyVersion(const base::ServiceId& service,
                                  const std::string& version,
                                  Handler handler) {
  const Found found{version, Found::Source::kOnlyVersion};
  if (steady_clock::now() - started_at_ > StreamVersions::kMemory) {
    handler(found);
    return;
  }
  // Streams may have begun before this process did, at instances whose software
  // writes no records of versions.
  table_.ReadRow(
      ServiceKey(service), kCallTimeout,
      [found,
       handler = std::move(handler)](const storage::TableResponse& answer) {
        if (answer.outcome != storage::CallOutcome::kDone) {
          handler(StoreUnavailable());
          return;
        }
        const auto written_at =
            answer.rows.empty()
                ? std::chrono::milliseconds(0)
                : WrittenAt(
                      json::parse(answer.rows.front().value, nullptr, false));
        // A row that cannot be read may be a recent one.
        const bool is_unreadable =
            !answer.rows.empty() && written_at.count() == 0;
        if (is_unreadable || (!answer.rows.empty() &&
                              answer.store_time - written_at < kMixedMemory))
          handler(Unknown());
        else
          handler(found);
      });
}

}  // namespace dandelionmill::gateway
