#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_RECOVERY_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_RECOVERY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/budget/recovery.h"
#include "dandelionmill/budget/row.h"
#include "dandelionmill/control/internal/budget_holder_row.h"
#include "dandelionmill/storage/table_store.h"
#include "dandelionmill/wire/budget.pb.h"

namespace dandelionmill::control {

class PlatformIo;

// Recovers the leases of lost holders of our availability zone. Marks the
// holder's row closed, asks every router named there to close the holder too,
// and hands their reports over budget by budget. A holder that is closed by
// mistake loses nothing but its id. Lives on the control thread.
class BudgetRecovery {
 public:
  // By the holder that was asked for.
  using Reports = std::map<base::HolderId, std::vector<wire::CloseReport>>;

  struct Hooks {
    // Whether the process of a holder answers, as far as is known; nothing
    // when the process is not known. Only saves needless recoveries.
    std::function<std::optional<bool>(const base::HolderId&)> is_reachable;
    // Whether the holder is the id that this process uses now.
    std::function<bool(const base::HolderId&)> is_ours;
    // Sends CloseHolder. Returns false when no route to the router is known.
    std::function<bool(const base::HolderId&, const base::RouterId&)>
        close_at_router;
    // Routers that are alive.
    std::function<const std::set<base::RouterId>&()> live_routers;
    // Reports are there: fold the lease of `holder` on this budget.
    std::function<void(const budget::BudgetKey&,
                       const base::HolderId& holder,
                       const Reports&)>
        fold;
  };

  BudgetRecovery(PlatformIo& platform, base::ZoneId zone, Hooks hooks);
  ~BudgetRecovery();

  // Commands.
  // A budget row holds a lease of `holder`, whose use routers count under
  // `counted_under`.
  void OnLease(const budget::BudgetKey& key,
               const base::HolderId& holder,
               const std::set<base::HolderId>& counted_under);
  void OnReport(const wire::CloseReport& report);
  // Looks for holders of our zone that are gone; one control per zone does.
  void Sweep();
  void OnTick(base::MonoTime now);

  // Queries.
  std::size_t holders() const { return lost_.size(); }
  void Dump(nlohmann::json& dump) const;

 private:
  enum class Phase {
    // It may be alive.
    kSuspected,
    // Its row is being read or closed.
    kClosing,
    // Routers are being asked.
    kAsking,
    // The reports are complete, or as complete as they get.
    kReported
  };
  struct Lost {
    Phase phase = Phase::kSuspected;
    base::MonoTime since;
    base::MonoTime next_step;
    std::set<base::RouterId> routers;
    std::map<base::RouterId, wire::CloseReport> reports;
    std::set<base::RouterId> asked;
    // Budgets to fold, with the holders under which routers count.
    std::map<budget::BudgetKey, std::set<base::HolderId>> budgets;
    bool closed_by_row = false;
  };

  Lost& Register(const base::HolderId& holder);
  void Step(const base::HolderId& holder, Lost& lost);
  void Decide(const base::HolderId& holder, Lost& lost);
  void ReadRow(const base::HolderId& holder);
  void OnRow(const base::HolderId& holder,
             const base::Result<storage::Row>& read);
  void CloseRow(const base::HolderId& holder,
                HolderRecord record,
                std::uint64_t version);
  void BeginAsking(Lost& lost, const HolderRecord& record);
  void AskAgain(Lost& lost);
  void Ask(const base::HolderId& holder, Lost& lost);
  void Fold(const base::HolderId& holder, Lost& lost);
  bool HasFreshReports(const std::set<base::HolderId>& holders);
  void Retry(const base::HolderId& holder);
  void OnHolderRows(const base::Result<std::vector<storage::Row>>& rows);
  void ClearRows();
  void ClearRow(const base::HolderId& holder);
  void SweepBudgets();
  void OnBudgetRows(const base::Result<std::vector<storage::Row>>& rows);

  PlatformIo& platform_;
  const base::ZoneId zone_;
  const Hooks hooks_;
  std::map<base::HolderId, Lost> lost_;
  // Where the sweep over all budget rows stands; empty when none runs.
  std::optional<std::string> cursor_;
  // Where the search for lost holders stands.
  std::string holder_cursor_;
  // Holders that were closed when the sweep began, and those closed since.
  std::set<base::HolderId> swept_;
  std::set<base::HolderId> unswept_;
  // Holders that the present sweep has found leases of.
  std::set<base::HolderId> found_;
  bool scanning_ = false;
  base::MonoTime next_scan_;
  base::MonoTime now_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_RECOVERY_H_
