#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_MODULE_IMPL_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_MODULE_IMPL_H_

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/control/budget_module.h"
#include "dandelionmill/control/internal/budget_backend_inspector.h"
#include "dandelionmill/control/internal/budget_charges.h"
#include "dandelionmill/control/internal/budget_claims.h"
#include "dandelionmill/control/internal/budget_holder_row.h"
#include "dandelionmill/control/internal/budget_leases.h"
#include "dandelionmill/control/internal/budget_recovery.h"
#include "dandelionmill/idempotency/attempt_table.h"
#include "dandelionmill/wire/budget.pb.h"
#include "dandelionmill/wire/bus.h"
#include "dandelionmill/wire/envelope.pb.h"

namespace dandelionmill::control {

// Returns whether `holder` is the id of the control process `process` or an id
// that the process adopted after its first one was closed.
bool IsHolderIdOf(const base::HolderId& holder, const base::HolderId& process);

inline budget::BudgetKey BudgetKeyOf(const idempotency::Attempt& attempt) {
  return {attempt.name.account, attempt.budget};
}

class BudgetModule::Impl {
 public:
  explicit Impl(Context& context);

  void OnMessage(const wire::Route& from, const wire::Envelope& message);
  void OnTick(base::MonoTime now);
  void OnLeave();
  bool IsDrained() const;
  void Dump(nlohmann::json& dump) const;

 private:
  // A holder id and its leases. When another control closes the holder, a new
  // epoch with a new id begins. Earlier epochs are kept because callbacks still
  // refer to them.
  struct Epoch {
    std::unique_ptr<HolderRow> row;
    std::unique_ptr<BudgetLeases> leases;
  };
  struct Router {
    wire::Route route;
    base::MonoTime last_seen;
  };
  // A running attempt that its router is not expected to settle.
  struct Orphan {
    base::MonoTime since;
    base::MonoTime next_lookup;
  };
  // A ReserveRequest that has not been answered yet.
  struct Call {
    wire::Route from;
    std::uint64_t id = 0;
    base::RouterId router;
    base::MonoTime arrived;
    wire::ReserveRequest request;

    idempotency::RequestIdentity name() const {
      return {base::AccountId(request.account()),
              base::RequestKey(request.request_key())};
    }
    budget::BudgetKey budget() const {
      return {base::AccountId(request.account()), request.budget()};
    }
    base::Tokens tokens() const {
      return request.prompt_bound() + request.output_cap();
    }
  };
  using CallPtr = std::shared_ptr<Call>;
  using CallKey = std::pair<idempotency::RequestIdentity, base::RouterId>;

  // Reservations (budget_module_reserve.cc).
  void OnReserve(const wire::Route& from, const wire::Envelope& message);
  std::optional<idempotency::Rejected> Validate(const Call& call) const;
  idempotency::Admission Admit(const Call& call) const;
  void ApplyAdmission(const CallPtr& call,
                      const idempotency::Admission& admission);
  void ReserveTokens(const CallPtr& call);
  void OnTokensReserved(const CallPtr& call);
  void AcquireClaim(const CallPtr& call);
  void Grant(const CallPtr& call, const base::AttemptId& id);
  void SendGrant(const CallPtr& call, const base::AttemptId& id);
  void Attach(const CallPtr& call, const base::AttemptId& id);
  void CompleteJoin(idempotency::Attempt& attempt,
                    const base::RouterId& sender);
  void Refuse(const CallPtr& call, const idempotency::Rejected& rejected);
  void Reply(const CallPtr& call, wire::ReserveReply reply);
  base::AttemptId NewAttemptId();

  // Running attempts and their settlement (budget_module_settle.cc).
  void OnDispatched(const wire::Envelope& message);
  void OnShrink(const wire::Envelope& message);
  void OnCallerGone(const wire::Route& from, const wire::Envelope& message);
  void CancelAbandoned();
  void OnSettle(const wire::Route& from, const wire::Envelope& message);
  bool ForwardSettle(const wire::Settle& settle);
  void SettleUnknownAttempt(const wire::Route& from,
                            const wire::Settle& settle);
  void OnForwardedSettle(const wire::Route& from, const wire::Settle& settle);
  void RecordLateSettle(const base::AttemptId& attempt, base::Tokens used);
  void EndNotRun(const idempotency::Attempt& attempt);
  void EndRun(const idempotency::Attempt& attempt,
              const wire::Settle& settle,
              bool with_charge);
  void ForwardSettleToZone(const wire::Settle& settle);
  void ReturnTokens(const idempotency::Attempt& attempt, base::Tokens used);
  void Acknowledge(const std::vector<base::AttemptId>& attempts);
  void SetAcknowledgeRoute(const base::AttemptId& attempt,
                           const wire::Route& from);

  // Attempts whose router is lost (budget_module_orphans.cc).
  void CheckOrphans();
  bool IsOrphan(const idempotency::Attempt& attempt) const;
  void LookUpOrphan(const idempotency::Attempt& attempt);
  std::vector<net::Address> BackendsOf(
      const idempotency::Attempt& attempt) const;
  void ProcessLookups();
  void EndOrphan(const base::AttemptId& id,
                 wire::Outcome outcome,
                 const BackendInspector::LookupResult& result);

  // Lost holders (budget_module_recovery.cc).
  BudgetRecovery::Hooks RecoveryHooks();
  std::optional<bool> IsReachable(const base::HolderId& holder) const;
  bool IsOfAnotherZone(const base::HolderId& holder) const;
  void RecoverLease(const budget::BudgetKey& key,
                    const base::HolderId& holder,
                    const BudgetRecovery::Reports& reports);
  void AdoptReservation(const budget::BudgetKey& key,
                        const base::RouterId& router,
                        const budget::RunningReservation& reservation,
                        const BudgetRecovery::Reports& reports);
  void SweepHolders();

  // Lifecycle (budget_module_impl.cc).
  void BeginEpoch();
  void OnEpochClosed();
  void RegisterRouter(const wire::Route& from, const base::RouterId& router);
  void ExpireRouters();
  std::optional<BudgetConfig> FindBudgetConfig(
      const budget::BudgetKey& key) const;
  void SendRecall(const budget::BudgetKey& key,
                  const base::HolderId& holder,
                  base::Tokens wanted);
  void UpdateMetrics();
  HolderRow& holder_row() const { return *epochs_.back().row; }
  BudgetLeases& leases() const { return *epochs_.back().leases; }

  // How often a zone searches for lost holders that no budget row read so far
  // has revealed.
  static constexpr std::chrono::milliseconds kSweepPeriod{15000};

  Context& context_;
  std::vector<Epoch> epochs_;
  BudgetRecovery recovery_;
  BudgetCharges charges_;
  BudgetClaims claims_;
  idempotency::AttemptTable attempts_;
  std::map<base::RouterId, Router> routers_;
  std::set<base::RouterId> live_routers_;
  std::map<CallKey, CallPtr> calls_;
  std::map<base::AttemptId, wire::Route> acknowledge_routes_;
  // Attempts whose caller disconnected and may reconnect.
  std::set<base::AttemptId> disconnected_attempts_;
  // Tokens used by settled attempts whose reservation this control did not
  // hold; needed if it takes over the reservation later.
  std::map<base::AttemptId, base::Tokens> late_settles_;
  std::map<base::AttemptId, Orphan> orphans_;
  BackendInspector inspector_;
  std::uint64_t next_attempt_ = 1;
  base::MonoTime now_;
  base::MonoTime next_maintenance_;
  base::MonoTime next_sweep_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_MODULE_IMPL_H_
