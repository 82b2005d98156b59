// Settlement of attempts in BudgetModule whose router does not settle them.

#include <algorithm>
#include <utility>

#include "dandelionmill/control/internal/budget_module_impl.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

// How long after the deadline of an attempt its router may still settle it.
constexpr std::chrono::milliseconds kSettleGrace{5000};
// How long after the loss of a router a caller's retry may still attach.
constexpr std::chrono::milliseconds kRetryGrace{3000};
constexpr std::chrono::milliseconds kLookupPeriod{5000};
// When no lookup succeeds for this long, the outcome is recorded as unknown.
constexpr std::chrono::milliseconds kLookupTimeout{60000};
// For this long after the grant, a missing record on the backend server proves
// that the attempt never ran there. Model engines keep records for 60 s.
constexpr std::chrono::milliseconds kNoRecordConclusivePeriod{50000};

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void BudgetModule::Impl::CheckOrphans() {
  std::vector<base::AttemptId> due;
  attempts_.ForEachRunning([&](const idempotency::Attempt& attempt) {
    if (IsOrphan(attempt))
      due.push_back(attempt.id);
  });
  for (const base::AttemptId& id : due)
    LookUpOrphan(*attempts_.Find(id));
  for (auto orphan = orphans_.begin(); orphan != orphans_.end();) {
    const idempotency::Attempt* attempt = attempts_.Find(orphan->first);
    if (attempt == nullptr ||
        attempt->state == idempotency::AttemptState::kEnded)
      orphan = orphans_.erase(orphan);
    else
      ++orphan;
  }
}

bool BudgetModule::Impl::IsOrphan(const idempotency::Attempt& attempt) const {
  if (now_ > attempt.deadline + kSettleGrace)
    return true;
  // routers_ contains only routers heard from within kRouterTimeout.
  return routers_.count(attempt.router) == 0 &&
         now_ - attempt.granted_at > kRetryGrace;
}

void BudgetModule::Impl::LookUpOrphan(const idempotency::Attempt& attempt) {
  const auto [orphan, is_new] = orphans_.try_emplace(attempt.id);
  if (is_new) {
    orphan->second.since = now_;
    orphan->second.next_lookup = now_ + kRetryGrace;
  }
  if (now_ < orphan->second.next_lookup)
    return;
  const std::vector<net::Address> backends = BackendsOf(attempt);
  // Plain services keep no records of attempts.
  if (attempt.model.empty() && !attempt.service.empty())
    return EndOrphan(attempt.id, wire::OUTCOME_UNKNOWN, {});
  if (now_ - orphan->second.since > kLookupTimeout)
    return EndOrphan(attempt.id, wire::OUTCOME_UNKNOWN, {});
  orphan->second.next_lookup = now_ + kLookupPeriod;
  inspector_.StartLookup({attempt.id, backends});
}

std::vector<net::Address> BudgetModule::Impl::BackendsOf(
    const idempotency::Attempt& attempt) const {
  std::vector<net::Address> backends;
  if (!context_.config)
    return backends;
  for (const inventory::Backend& backend : context_.config->core().backends) {
    const bool may_have_run = attempt.backend.empty()
                                  ? backend.service.value() == attempt.service
                                  : backend.id == attempt.backend;
    if (may_have_run)
      backends.push_back(backend.address);
  }
  return backends;
}

void BudgetModule::Impl::ProcessLookups() {
  using RecordState = BackendInspector::RecordState;
  for (const BackendInspector::LookupResult& result :
       inspector_.TakeResults()) {
    const idempotency::Attempt* attempt = attempts_.Find(result.attempt);
    if (attempt == nullptr ||
        attempt->state == idempotency::AttemptState::kEnded)
      continue;
    switch (result.state) {
      case RecordState::kCompleted:
        EndOrphan(result.attempt, wire::OUTCOME_COMPLETED, result);
        break;
      case RecordState::kCancelled:
        EndOrphan(result.attempt, wire::OUTCOME_CANCELLED, result);
        break;
      case RecordState::kNoRecord:
        EndOrphan(result.attempt,
                  now_ - attempt->granted_at < kNoRecordConclusivePeriod
                      ? wire::OUTCOME_NOT_RUN
                      : wire::OUTCOME_UNKNOWN,
                  result);
        break;
      case RecordState::kUndetermined:
        break;
    }
  }
}

void BudgetModule::Impl::EndOrphan(
    const base::AttemptId& id,
    wire::Outcome outcome,
    const BackendInspector::LookupResult& result) {
  const idempotency::Attempt& attempt = *attempts_.Find(id);
  log::Event(log::Level::kWarning, "attempt_without_router")
      .With("attempt", id)
      .With("router", attempt.router)
      .With("outcome", static_cast<int>(outcome));
  wire::Settle settle;
  settle.set_attempt(id.value());
  settle.set_holder(attempt.holder.value());
  settle.set_account(attempt.name.account.value());
  settle.set_budget(attempt.budget);
  settle.set_request_key(attempt.name.key.value());
  settle.set_service(attempt.service);
  settle.set_model(attempt.model);
  settle.set_backend(attempt.backend.value());
  settle.set_prompt_tokens(result.prompt_tokens);
  settle.set_completion_tokens(result.completion_tokens);
  settle.set_outcome(outcome);
  settle.set_ended_at_unix_ms(UnixMillis());
  settle.set_reserved_tokens(attempt.reserved);
  settle.set_idempotent(attempt.idempotent);
  // A claim is released only when the backend server has no record of the
  // attempt; plain services keep no records.
  if (outcome == wire::OUTCOME_NOT_RUN)
    EndNotRun(attempt);
  else
    EndRun(attempt, settle, true);
}

}  // namespace dandelionmill::control
