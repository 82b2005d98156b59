#include "dandelionmill/router/settlement_outbox.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::router {

void SettlementOutbox::Add(wire::Settle settle, base::MonoTime now) {
  const base::AttemptId attempt(settle.attempt());
  pending_[attempt] = Entry{std::move(settle), now, kInitialResendInterval};
}

void SettlementOutbox::Acknowledge(const base::AttemptId& attempt,
                                   base::MonoTime now) {
  if (pending_.erase(attempt) > 0)
    acknowledged_[attempt] = now;
}

std::vector<wire::Settle> SettlementOutbox::TakeDue(base::MonoTime now) {
  std::vector<wire::Settle> due;
  for (auto& [attempt, entry] : pending_) {
    if (entry.due > now)
      continue;
    due.push_back(entry.settle);
    entry.due = now + entry.resend_interval;
    entry.resend_interval =
        std::min(entry.resend_interval * 2, kMaxResendInterval);
  }
  for (auto entry = acknowledged_.begin(); entry != acknowledged_.end();) {
    if (now - entry->second > kAcknowledgedRetention)
      entry = acknowledged_.erase(entry);
    else
      ++entry;
  }
  return due;
}

bool SettlementOutbox::IsUnacknowledgedFailure(
    const base::AttemptId& attempt) const {
  const auto found = pending_.find(attempt);
  return found != pending_.end() &&
         found->second.settle.outcome() != wire::OUTCOME_COMPLETED;
}

bool SettlementOutbox::Contains(const base::AttemptId& attempt) const {
  return pending_.count(attempt) > 0 || acknowledged_.count(attempt) > 0;
}

}  // namespace dandelionmill::router
