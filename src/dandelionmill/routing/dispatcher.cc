#include "dandelionmill/routing/dispatcher.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/routing/internal/dispatcher_state.h"

namespace dandelionmill::routing {

Dispatcher::Dispatcher(base::ZoneId zone, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(zone), seed)) {}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&& other) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&& other) noexcept = default;

Decisions Dispatcher::OnConfig(inventory::SnapshotPtr config,
                               base::MonoTime now) {
  return state_->OnConfig(std::move(config), now);
}

Decisions Dispatcher::Submit(Request request, base::MonoTime now) {
  return state_->Submit(std::move(request), now);
}

Decisions Dispatcher::OnAttemptEnded(RequestNumber number,
                                     AttemptResult result,
                                     bool answer_started,
                                     base::MonoTime now) {
  return state_->OnAttemptEnded(number, result, answer_started, now);
}

Decisions Dispatcher::OnCallerDisconnected(RequestNumber number,
                                           base::MonoTime now) {
  return state_->OnCallerDisconnected(number, now);
}

Decisions Dispatcher::OnTick(base::MonoTime now) {
  return state_->OnTick(now);
}

Decisions Dispatcher::OnLoadReport(const base::BackendId& backend,
                                   const LoadReport& report,
                                   base::MonoTime now) {
  return state_->OnLoadReport(backend, report, now);
}

Decisions Dispatcher::SetLeavingBackends(
    const std::set<base::BackendId>& leaving,
    base::MonoTime now) {
  return state_->SetLeavingBackends(leaving, now);
}

Decisions Dispatcher::OnBackendLeaving(const base::BackendId& backend,
                                       base::MonoTime now) {
  return state_->OnBackendLeaving(backend, now);
}

Decisions Dispatcher::MergeQuarantine(const QuarantineRecord& record,
                                      base::MonoTime now) {
  return state_->MergeQuarantine(record, now);
}

void Dispatcher::OnFirstEvent(RequestNumber number, base::MonoTime now) {
  state_->OnFirstEvent(number, now);
}

void Dispatcher::OnLoadReportFailed(const base::BackendId& backend,
                                    base::MonoTime now) {
  state_->OnLoadReportFailed(backend, now);
}

void Dispatcher::OnCacheEvents(const base::BackendId& backend,
                               const std::vector<CacheEvent>& events) {
  state_->OnCacheEvents(backend, events);
}

std::vector<QuarantineRecord> Dispatcher::TakeChangedQuarantines() {
  return state_->TakeChangedQuarantines();
}

void Dispatcher::Dump(nlohmann::json& dump, base::MonoTime now) const {
  state_->Dump(dump, now);
}

}  // namespace dandelionmill::routing
