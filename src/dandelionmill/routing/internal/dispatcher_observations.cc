#include <algorithm>
#include <nlohmann/json.hpp>

#include "dandelionmill/routing/internal/dispatcher_state.h"

namespace dandelionmill::routing {
namespace {

// How often latencies are compared and expired records removed.
constexpr base::Millis kMaintenancePeriod{1000};
// An attempt without a first event for this long adds a slow sample in every
// maintenance period.
constexpr base::Millis kOverdueFirstEvent{2000};

}  // namespace

Decisions Dispatcher::State::OnTick(base::MonoTime now) {
  Decisions out;
  if (now >= last_maintenance_ + kMaintenancePeriod) {
    last_maintenance_ = now;
    body_quarantine_.Expire(now);
    AddOverdueFirstEvents(now);
    for (auto& [id, service] : services_)
      service.pool.EjectSlowBackends(now);
  }
  for (auto& [id, service] : services_)
    ShedAndDispatch(service, now, out);
  return out;
}

// Without these samples, a backend server that has stopped answering would not
// be detected as slow.
void Dispatcher::State::AddOverdueFirstEvents(base::MonoTime now) {
  for (const auto& [number, entry] : entries_) {
    if (!entry.running || entry.first_event ||
        now < entry.sent_at + kOverdueFirstEvent)
      continue;
    Service& service = services_.at(entry.request.service);
    BackendState* backend = service.pool.Find(entry.backend);
    if (backend != nullptr && backend->health.first_event.IsKnown())
      backend->health.first_event.Add(now - entry.sent_at);
  }
}

BackendState* Dispatcher::State::FindBackend(const base::BackendId& id,
                                             Service** service) {
  for (auto& [service_id, candidate] : services_) {
    if (BackendState* backend = candidate.pool.Find(id)) {
      *service = &candidate;
      return backend;
    }
  }
  return nullptr;
}

Decisions Dispatcher::State::OnLoadReport(const base::BackendId& id,
                                          const LoadReport& report,
                                          base::MonoTime now) {
  Decisions out;
  Service* service = nullptr;
  BackendState* backend = FindBackend(id, &service);
  if (backend == nullptr)
    return out;
  backend->load.OnReport(report, now);
  backend->health.OnReport(now);
  backend->reported_leaving = report.leaving;
  backend->models = report.models;
  ShedAndDispatch(*service, now, out);
  return out;
}

void Dispatcher::State::OnLoadReportFailed(const base::BackendId& id,
                                           base::MonoTime now) {
  Service* service = nullptr;
  if (BackendState* backend = FindBackend(id, &service))
    backend->health.OnReportFailed(now);
}

Decisions Dispatcher::State::OnBackendLeaving(const base::BackendId& id,
                                              base::MonoTime now) {
  Decisions out;
  Service* service = nullptr;
  if (BackendState* backend = FindBackend(id, &service)) {
    backend->reported_leaving = true;
    Shed(*service, now, out);
  }
  return out;
}

Decisions Dispatcher::State::SetLeavingBackends(
    const std::set<base::BackendId>& leaving,
    base::MonoTime now) {
  Decisions out;
  listed_leaving_ = leaving;
  for (auto& [id, service] : services_) {
    service.pool.SetLeaving(leaving);
    ShedAndDispatch(service, now, out);
  }
  return out;
}

Decisions Dispatcher::State::MergeQuarantine(const QuarantineRecord& record,
                                             base::MonoTime now) {
  Decisions out;
  body_quarantine_.Merge(record, now);
  for (auto& [id, service] : services_)
    ShedAndDispatch(service, now, out);
  return out;
}

std::vector<QuarantineRecord> Dispatcher::State::TakeChangedQuarantines() {
  return body_quarantine_.TakeChangedRecords();
}

void Dispatcher::State::OnFirstEvent(RequestNumber number, base::MonoTime now) {
  const auto found = entries_.find(number);
  if (found == entries_.end() || !found->second.running ||
      found->second.first_event)
    return;
  Entry& entry = found->second;
  entry.first_event = true;
  Service& service = services_.at(entry.request.service);
  if (BackendState* backend = service.pool.Find(entry.backend))
    backend->health.first_event.Add(now - entry.sent_at);
}

void Dispatcher::State::OnCacheEvents(const base::BackendId& id,
                                      const std::vector<CacheEvent>& events) {
  Service* service = nullptr;
  if (BackendState* backend = FindBackend(id, &service))
    backend->cache.OnEvents(events);
}

void Dispatcher::State::Dump(nlohmann::json& dump, base::MonoTime now) const {
  for (const auto& [id, service] : services_) {
    nlohmann::json& entry = dump["services"][id.value()];
    entry["waiting"] = service.queue.size();
    entry["queue_limit"] = service.queue.limit();
    entry["running"] = service.pool.CountRunning();
    entry["retry_budget"] = service.retries.balance();
    entry["mean_run_s"] = service.run_time.mean().count();
    for (const auto& [account, size] : service.queue.Backlogs())
      entry["backlogs"][account.value()] = size;
    for (const auto& [backend_id, backend] : service.pool.backends()) {
      entry["backends"][backend_id.value()] = {
          {"own", backend.load.own()},
          {"others", backend.load.Others(now)},
          {"slots", backend.spec.slots},
          {"allowed", backend.health.AllowedSlots(backend.spec.slots, now)},
          {"ejected", backend.health.IsEjected()},
          {"slow", backend.health.IsEjectedAsSlow()},
          {"leaving", backend.IsLeaving()},
          {"cached_blocks", backend.cache.size()}};
    }
  }
  for (const auto& [body, record] : body_quarantine_.table().records()) {
    dump["quarantine"][body] = {
        {"crashes", record.crashed.size()},
        {"cleared", record.cleared.size()},
        {"remaining_ms", body_quarantine_.Remaining(body, now).count()}};
  }
}

}  // namespace dandelionmill::routing
