// Takeover of the leases of lost holders in BudgetModule.

#include <algorithm>
#include <utility>

#include "dandelionmill/control/internal/budget_module_impl.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/membership/ownership.h"

namespace dandelionmill::control {
namespace {

// How long an adopted attempt may run before it is looked up on its backend
// server.
constexpr std::chrono::milliseconds kAdoptedDeadline{60000};

// Accepts "account/name" in `budget` alone, or the name beside `account`.
budget::BudgetKey ParseBudgetKey(const std::string& account,
                                 const std::string& budget) {
  const std::size_t slash = budget.find('/');
  if (!account.empty() || slash == std::string::npos)
    return {base::AccountId(account), budget};
  return {base::AccountId(budget.substr(0, slash)), budget.substr(slash + 1)};
}

budget::RouterUse UseOf(const wire::CloseReport& report,
                        const budget::BudgetKey& key) {
  budget::RouterUse use;
  for (const wire::BudgetUse& entry : report.uses()) {
    if (ParseBudgetKey(entry.account(), entry.budget()) == key)
      use.settled += entry.settled_tokens();
  }
  for (const wire::RunningAttempt& running : report.running()) {
    if (ParseBudgetKey(running.account(), running.budget()) == key)
      use.running.push_back(
          {base::AttemptId(running.attempt()), running.tokens()});
  }
  return use;
}

const wire::RunningAttempt* FindRunning(const BudgetRecovery::Reports& reports,
                                        const base::AttemptId& attempt) {
  for (const auto& [counted, closed] : reports) {
    for (const wire::CloseReport& report : closed) {
      for (const wire::RunningAttempt& running : report.running()) {
        if (running.attempt() == attempt.value())
          return &running;
      }
    }
  }
  return nullptr;
}

}  // namespace

BudgetRecovery::Hooks BudgetModule::Impl::RecoveryHooks() {
  BudgetRecovery::Hooks hooks;
  hooks.is_reachable = [this](const base::HolderId& holder) {
    return IsReachable(holder);
  };
  hooks.is_own = [this](const base::HolderId& holder) {
    return holder == holder_row().holder();
  };
  hooks.close_at_router = [this](const base::HolderId& holder,
                                 const base::RouterId& router) {
    const auto entry = routers_.find(router);
    if (entry == routers_.end())
      return false;
    wire::Envelope envelope;
    envelope.mutable_close_holder()->set_holder(holder.value());
    context_.bus.Send(entry->second.route, std::move(envelope));
    return true;
  };
  hooks.live_routers = [this]() -> const std::set<base::RouterId>& {
    return live_routers_;
  };
  hooks.recover_lease = [this](const budget::BudgetKey& key,
                               const base::HolderId& holder,
                               const BudgetRecovery::Reports& reports) {
    RecoverLease(key, holder, reports);
  };
  return hooks;
}

// Returns nullopt when no process with that id is known. A process is known to
// be unreachable once another one has replaced it on its instance.
std::optional<bool> BudgetModule::Impl::IsReachable(
    const base::HolderId& holder) const {
  const std::string instance =
      holder.value().substr(0, holder.value().rfind('/'));
  // A former id of this process, or an earlier process on this instance.
  if (instance == context_.instance.value())
    return false;
  std::optional<bool> reachable;
  for (const membership::Member& member : context_.members.members) {
    if (IsHolderIdOf(holder, member.holder))
      return member.reachable;
    if (member.instance.value() == instance && member.reachable)
      reachable = false;
  }
  return reachable;
}

bool BudgetModule::Impl::IsOfAnotherZone(const base::HolderId& holder) const {
  for (const membership::Member& member : context_.members.members) {
    if (IsHolderIdOf(holder, member.holder))
      return member.zone != context_.zone;
  }
  return false;
}

void BudgetModule::Impl::RecoverLease(const budget::BudgetKey& key,
                                      const base::HolderId& holder,
                                      const BudgetRecovery::Reports& reports) {
  budget::HolderReports uses;
  for (const auto& [counted, closed] : reports) {
    budget::RouterUses& by_router = uses[counted];
    for (const wire::CloseReport& report : closed)
      by_router[base::RouterId(report.router())] = UseOf(report, key);
  }
  leases().Recover(
      key, holder, std::move(uses),
      [this, key, holder, reports](const budget::RecoveryResult& recovered) {
        log::Event(log::Level::kInfo, "lease_recovered")
            .With("account", key.account)
            .With("budget", key.name)
            .With("holder", holder)
            .With("returned", recovered.returned)
            .With("written_off", recovered.written_off);
        for (const auto& [router, reservations] : recovered.adopted) {
          for (const budget::RunningReservation& reservation : reservations)
            AdoptReservation(key, router, reservation, reports);
        }
      });
}

// Registers the attempt of a reservation that our lease already covers.
void BudgetModule::Impl::AdoptReservation(
    const budget::BudgetKey& key,
    const base::RouterId& router,
    const budget::RunningReservation& reservation,
    const BudgetRecovery::Reports& reports) {
  const auto settled = late_settles_.find(reservation.attempt);
  if (settled != late_settles_.end()) {
    // The attempt was settled between the report and the write.
    leases().Settle(key, router, reservation.tokens,
                    std::min(settled->second, reservation.tokens));
    return;
  }
  idempotency::Attempt attempt;
  attempt.id = reservation.attempt;
  attempt.budget = key.name;
  attempt.router = router;
  attempt.holder = holder_row().holder();
  attempt.granted = reservation.tokens;
  attempt.reserved = reservation.tokens;
  attempt.state = idempotency::AttemptState::kDispatched;
  attempt.granted_at = now_;
  attempt.deadline = now_ + kAdoptedDeadline;
  if (const wire::RunningAttempt* running =
          FindRunning(reports, reservation.attempt)) {
    attempt.name = {key.account, base::RequestKey(running->request_key())};
    attempt.body_sha256 = running->body_sha256();
    attempt.idempotent = running->idempotent();
    attempt.backend = base::BackendId(running->backend());
  }
  attempts_.Remove(attempt.id);
  attempts_.Add(std::move(attempt));
}

// One control of each zone, chosen by rendezvous hashing, searches for lost
// holders whose leases have not been noticed by any other control.
void BudgetModule::Impl::SweepHolders() {
  if (now_ < next_sweep_)
    return;
  next_sweep_ = now_ + kSweepPeriod;
  std::vector<base::InstanceId> instances = {context_.instance};
  for (const membership::Member& member : context_.members.members) {
    if (member.zone == context_.zone && member.reachable && !member.leaving &&
        member.instance != context_.instance)
      instances.push_back(member.instance);
  }
  const auto ranked =
      membership::RankOwners("sweep/" + context_.zone.value(), instances);
  if (ranked.front() == context_.instance)
    recovery_.Sweep();
}

}  // namespace dandelionmill::control
