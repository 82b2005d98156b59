#include "dandelionmill/gateway/gateway.h"

#include <utility>

#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/engine_entry.h"

// The rows of backend servers.
namespace dandelionmill::gateway {

void Gateway::OnBackendRow(const storage::VersionedRow& row) {
  const base::MonoTime now = std::chrono::steady_clock::now();
  const base::BackendId id(row.key.key);
  if (row.deleted) {
    log::Event(log::Level::kInfo, "backend_removed").With("backend", id);
    context_.directory.Remove(id, now);
    if (context_.directory.Find(id) == nullptr)
      context_.cold_allowance.Remove(id);
    return;
  }
  const auto entry = platform::DecodeEngineEntry(row.key.key, row.value);
  if (!base::IsOk(entry)) {
    log::Event(log::Level::kWarning, "backend_entry_rejected")
        .With(base::ErrorOf(entry));
    context_.directory.Remove(id, now);
    return;
  }
  const BackendEntry& backend = base::ValueOf(entry);
  const BackendEntry* known = context_.directory.Find(id);
  if (known == nullptr || known->draining != backend.draining ||
      known->incarnation != backend.incarnation) {
    log::Event(log::Level::kInfo, "backend_changed")
        .With("backend", id)
        .With("service", backend.service)
        .With("zone", backend.zone)
        .With("address", net::ToString(backend.address))
        .With("draining", backend.draining)
        .With("incarnation", backend.incarnation)
        .With("version", backend.software_version)
        .With("row_version", row.version);
    context_.pool.CloseIdle(id);
  }
  NoteReplacedVersion(backend);
  context_.directory.Put(backend);
  context_.cold_allowance.OnEntry(backend, base::BootClock::now());
}

void Gateway::OnBackendRows(const std::vector<storage::VersionedRow>& rows) {
  std::vector<BackendEntry> entries;
  for (const storage::VersionedRow& row : rows) {
    const auto entry = platform::DecodeEngineEntry(row.key.key, row.value);
    if (base::IsOk(entry)) {
      NoteReplacedVersion(base::ValueOf(entry));
      entries.push_back(base::ValueOf(entry));
    } else {
      log::Event(log::Level::kWarning, "backend_entry_rejected")
          .With(base::ErrorOf(entry));
    }
  }
  context_.directory.Replace(entries, std::chrono::steady_clock::now());
  for (const BackendEntry& entry : entries)
    context_.cold_allowance.OnEntry(entry, base::BootClock::now());
  context_.cold_allowance.RemoveUnless([this](const base::BackendId& id) {
    return context_.directory.Find(id) != nullptr;
  });
  log::Event(log::Level::kInfo, "backends_read").With("count", entries.size());
}

void Gateway::NoteReplacedVersion(const BackendEntry& entry) {
  const BackendEntry* last = context_.directory.FindLast(entry.id);
  if (last != nullptr && last->incarnation < entry.incarnation &&
      last->software_version != entry.software_version) {
    context_.stream_versions.OnVersionReplaced(entry.id,
                                               context_.directory.as_of());
  }
}

void Gateway::OnRegistryCurrent() {
  context_.directory.OnCurrent(backend_follower_.answered_call_started());
  context_.stream_versions.OnRegistryRead(context_.directory.as_of());
  const base::MonoTime now = std::chrono::steady_clock::now();
  for (const auto& [service, versions] : context_.directory.ListedVersions())
    context_.service_versions.OnListed(service, versions, now);
  context_.version_records.Update(now);
}

}  // namespace dandelionmill::gateway
