#include "dandelionmill/control/internal/budget_holder_row.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kRetryPeriod{500};

}  // namespace

std::string HolderKey(const base::HolderId& holder) {
  return "holder/" + holder.value();
}

base::Result<HolderRecord> ParseHolderRecord(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return base::Error{base::Code::kMalformedMessage,
                       "malformed holder row: " + text};
  HolderRecord record;
  record.zone = base::ZoneId(json.value("zone", ""));
  record.instance = base::InstanceId(json.value("instance", ""));
  for (const Json& router : json.value("routers", Json::array()))
    record.routers.insert(base::RouterId(router.get<std::string>()));
  record.closed = json.value("closed", false);
  return record;
}

std::string ToJson(const HolderRecord& record) {
  Json json = {{"zone", record.zone.value()},
               {"instance", record.instance.value()},
               {"routers", Json::array()},
               {"closed", record.closed}};
  for (const base::RouterId& router : record.routers)
    json["routers"].push_back(router.value());
  return json.dump();
}

HolderRow::HolderRow(PlatformIo& platform,
                     base::HolderId holder,
                     base::ZoneId zone,
                     base::InstanceId instance,
                     std::function<void()> on_change)
    : platform_(platform),
      holder_(std::move(holder)),
      on_change_(std::move(on_change)) {
  record_.zone = std::move(zone);
  record_.instance = std::move(instance);
}

storage::RowWrite HolderRow::VersionCheck() const {
  return {HolderKey(holder_), version_, "", false};
}

void HolderRow::AddRouter(const base::RouterId& router) {
  if (!HasRouter(router))
    pending_routers_.insert(router);
}

void HolderRow::Refresh() {
  if (busy_ || record_.closed)
    return;
  busy_ = true;
  platform_.Read(
      HolderKey(holder_),
      [this](const base::Result<storage::Row>& row) { OnRead(row); });
}

void HolderRow::OnTick(base::MonoTime now) {
  now_ = now;
  if (busy_ || record_.closed || now < retry_at_)
    return;
  if (stale_)
    Refresh();
  else if (version_ == 0 || !pending_routers_.empty())
    Write();
}

void HolderRow::Write() {
  HolderRecord next = record_;
  next.routers.insert(pending_routers_.begin(), pending_routers_.end());
  busy_ = true;
  platform_.Commit(
      {{{HolderKey(holder_), version_, ToJson(next), false}}},
      [this, next](const base::Status& status) { OnWritten(next, status); });
}

void HolderRow::OnWritten(const HolderRecord& written,
                          const base::Status& status) {
  busy_ = false;
  if (!base::IsOk(status)) {
    retry_at_ = now_ + kRetryPeriod;
    stale_ = base::ErrorOf(status).code != base::Code::kStoreUnavailable;
    return;
  }
  record_ = written;
  ++version_;
  for (const base::RouterId& router : written.routers)
    pending_routers_.erase(router);
  on_change_();
}

void HolderRow::OnRead(const base::Result<storage::Row>& row) {
  busy_ = false;
  if (!base::IsOk(row)) {
    stale_ = true;
    retry_at_ = now_ + kRetryPeriod;
    return;
  }
  stale_ = false;
  const storage::Row& read = base::ValueOf(row);
  // A row is deleted only after it has been closed.
  if (read.version == 0 && version_ > 0)
    record_.closed = true;
  if (read.version < version_ || read.version == 0)
    return on_change_();
  version_ = read.version;
  const base::Result<HolderRecord> record = ParseHolderRecord(read.value);
  if (!base::IsOk(record)) {
    log::Event(log::Level::kError, "holder_row_malformed")
        .With(base::ErrorOf(record));
    return;
  }
  record_ = base::ValueOf(record);
  for (const base::RouterId& router : record_.routers)
    pending_routers_.erase(router);
  on_change_();
}

}  // namespace dandelionmill::control
