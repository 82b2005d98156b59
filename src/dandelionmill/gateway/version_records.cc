#include "dandelionmill/gateway/version_records.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCallTimeout{600};

// Rows of one transaction; the store accepts 100.
constexpr std::size_t kMaxRows = 50;

// The instances of a fleet learn of a new version at the same time. They wait
// for a random part of this, for each instance, so that few of them write.
constexpr std::chrono::milliseconds kDelayPerInstance{2};

// A digest, since the names may be longer than a key.
storage::RowKey KeyOf(const ServiceVersion& name) {
  return {VersionRecords::kTable, "",
          std::to_string(
              base::StableHash(name.service.value() + "\n" + name.version))};
}

std::string Encode(const ServiceVersionRow& row, std::chrono::milliseconds at) {
  json value = {{"service", row.name.service.value()},
                {"version", row.name.version},
                {"at_ms", at.count()}};
  if (row.era)
    value["era"] = *row.era;
  return value.dump();
}

// Returns nothing if the row is malformed.
std::optional<ServiceVersionRow> Decode(const storage::VersionedRow& row) {
  const json value = json::parse(row.value, nullptr, false);
  const auto is_text = [&value](const char* field) {
    return value.contains(field) && value[field].is_string();
  };
  if (!value.is_object() || !is_text("service") || !is_text("version")) {
    log::Event(log::Level::kWarning, "version_record_rejected")
        .With("key", row.key.key)
        .With("row_version", row.version);
    return std::nullopt;
  }
  ServiceVersionRow decoded;
  decoded.name = {base::ServiceId(value["service"].get<std::string>()),
                  value["version"].get<std::string>()};
  if (value.contains("era") && value["era"].is_number_unsigned())
    decoded.era = value["era"].get<std::uint64_t>();
  return decoded;
}

std::vector<ServiceVersionRow> Decode(
    const std::vector<storage::VersionedRow>& rows) {
  std::vector<ServiceVersionRow> decoded;
  for (const storage::VersionedRow& row : rows) {
    if (auto record = Decode(row))
      decoded.push_back(*std::move(record));
  }
  return decoded;
}

}  // namespace

void VersionRecords::Start() {
  Read();
}

void VersionRecords::OnStoreRestored(std::uint64_t era) {
  versions_.OnStoreRestored(era, steady_clock::now());
  Read();
}

void VersionRecords::Update(base::MonoTime now) {
  if (!has_read_)
    Read();
  else if (!versions_.Unrecorded(now).empty() ||
           !versions_.Expired(now).empty())
    ScheduleRead();
}

void VersionRecords::ScheduleRead() {
  if (std::exchange(is_scheduled_, true))
    return;
  const auto max_delay = instance_count_ * kDelayPerInstance;
  timer_.expires_after(std::chrono::milliseconds(
      std::uniform_int_distribution<std::chrono::milliseconds::rep>(
          0, max_delay.count())(random_)));
  timer_.async_wait([this](boost::system::error_code error) {
    // Another instance may have written or deleted them in the meantime.
    if (!error)
      Read();
  });
}

void VersionRecords::Judge(const base::ServiceId& service, Handler handler) {
  waiters_.push_back({service, std::move(handler)});
  Read();
}

void VersionRecords::Read() {
  // A response may reflect a time before the last waiter, so another read
  // follows.
  if (std::exchange(is_reading_, true))
    return;
  table_.Read(kTable, "", "", kCallTimeout,
              [this, waiters = std::exchange(waiters_, {})](
                  storage::TableResponse answer) { OnRead(answer, waiters); });
}

void VersionRecords::OnRead(const storage::TableResponse& answer,
                            std::vector<Waiter> waiters) {
  is_reading_ = false;
  is_scheduled_ = false;
  const base::MonoTime now = steady_clock::now();
  const bool is_read = answer.outcome == storage::CallOutcome::kDone;
  const std::vector<ServiceVersionRow> rows = Decode(answer.rows);
  // A row that cannot be read may name any service.
  const bool is_whole = is_read && !answer.has_more &&
                        answer.malformed_rows == 0 &&
                        rows.size() == answer.rows.size();
  if (is_read) {
    versions_.OnRead(rows, answer.era, now);
    has_read_ = true;
    store_time_ = answer.store_time;
    Record(now);
    DeleteExpired(answer, now);
  } else {
    log::Event(log::Level::kWarning, "version_records_not_read")
        .With("outcome", storage::ToString(answer.outcome))
        .With("detail", answer.detail)
        .With("waiting", waiters.size());
  }
  if (!waiters_.empty())
    Read();
  for (Waiter& waiter : waiters) {
    if (is_whole) {
      waiter.handler(versions_.Judge(waiter.service, rows, answer.era, now));
    } else if (is_read) {
      waiter.handler(ServiceVersions::Judgement(ServiceVersions::Incomplete()));
    } else {
      waiter.handler(StoreUnavailable());
    }
  }
}

void VersionRecords::Record(base::MonoTime now) {
  std::vector<ServiceVersionRow> rows = versions_.Unrecorded(now);
  if (rows.empty() || std::exchange(is_writing_, true))
    return;
  if (rows.size() > kMaxRows)
    rows.resize(kMaxRows);
  storage::RowChange change;
  for (const ServiceVersionRow& row : rows)
    change.puts.push_back({KeyOf(row.name), Encode(row, store_time_)});
  table_.Commit(std::move(change), kCallTimeout,
                [this, rows, sent_in = versions_.era()](
                    const storage::TableResponse& answer) {
                  OnRecorded(answer, rows, sent_in);
                });
}

void VersionRecords::OnRecorded(const storage::TableResponse& answer,
                                const std::vector<ServiceVersionRow>& rows,
                                std::optional<std::uint64_t> sent_in) {
  is_writing_ = false;
  const bool is_done = answer.outcome == storage::CallOutcome::kDone;
  for (const ServiceVersionRow& row : rows) {
    log::Event(is_done ? log::Level::kInfo : log::Level::kWarning,
               is_done ? "version_recorded" : "version_not_recorded")
        .With("service", row.name.service)
        .With("version", row.name.version)
        .With("era", row.era ? std::to_string(*row.era) : "")
        .With("detail", answer.detail);
  }
  if (is_done)
    versions_.OnRecorded(rows, sent_in, answer.era, steady_clock::now());
}

void VersionRecords::DeleteExpired(const storage::TableResponse& answer,
                                   base::MonoTime now) {
  const std::vector<ServiceVersion> expired = versions_.Expired(now);
  if (expired.empty() || is_writing_)
    return;
  storage::RowChange change;
  for (const ServiceVersion& name : expired) {
    const storage::RowKey key = KeyOf(name);
    const auto row = std::find_if(
        answer.rows.begin(), answer.rows.end(),
        [&key](const auto& item) { return item.key.key == key.key; });
    if (row == answer.rows.end() || change.deletes.size() == kMaxRows / 2)
      continue;
    change.expected.push_back({key, row->version});
    change.deletes.push_back(key);
  }
  if (change.deletes.empty())
    return;
  is_writing_ = true;
  table_.Commit(std::move(change), kCallTimeout,
                [this, expired](const storage::TableResponse& deleted) {
                  is_writing_ = false;
                  for (const ServiceVersion& name : expired) {
                    log::Event(log::Level::kInfo, "version_record_deleted")
                        .With("service", name.service)
                        .With("version", name.version)
                        .With("outcome", storage::ToString(deleted.outcome));
                  }
                });
}

}  // namespace dandelionmill::gateway
