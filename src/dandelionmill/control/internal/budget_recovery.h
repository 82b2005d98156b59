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

// Recovers the leases of lost holders of this control's availability zone.
// Marks the holder's row closed, requests every router named there to close the
// holder too, and passes the reports of the routers on for each budget. A
// holder that is closed by mistake loses nothing but its id. Used on the
// control thread only.
class BudgetRecovery {
 public:
  // Reports by the holder that the routers were requested to close.
  using Reports = std::map<base::HolderId, std::vector<wire::CloseReport>>;

  struct Hooks {
    // Returns whether the process of a holder was reachable last, or nullopt
    // when the process is not known. Only avoids needless recoveries; a wrong
    // value does no harm.
    std::function<std::optional<bool>(const base::HolderId&)> is_reachable;
    // Returns whether this process uses the holder id now.
    std::function<bool(const base::HolderId&)> is_own;
    // Sends CloseHolder. Returns false when no route to the router is known.
    std::function<bool(const base::HolderId&, const base::RouterId&)>
        close_at_router;
    // Returns the routers heard from recently.
    std::function<const std::set<base::RouterId>&()> live_routers;
    // Called when the reports are available, to merge the lease of `holder`
    // into the row of this budget.
    std::function<void(const budget::BudgetKey&,
                       const base::HolderId& holder,
                       const Reports&)>
        recover_lease;
  };

  BudgetRecovery(PlatformIo& platform, base::ZoneId zone, Hooks hooks);
  ~BudgetRecovery();

  // Commands.
  // A budget row contains a lease of `holder`; routers count the tokens used
  // from it under the ids in `counted_under`.
  void OnLease(const budget::BudgetKey& key,
               const base::HolderId& holder,
               const std::set<base::HolderId>& counted_under);
  void OnReport(const wire::CloseReport& report);
  // Starts a search for lost holders of this zone. To be called by one control
  // per zone.
  void Sweep();
  void OnTick(base::MonoTime now);

  // Queries.
  std::size_t holders() const { return lost_.size(); }
  void Dump(nlohmann::json& dump) const;

 private:
  enum class Phase {
    // The holder may still be running.
    kSuspected,
    // The row of the holder is being read or closed.
    kClosing,
    // Reports are being collected from the routers.
    kCollecting,
    // All reports have been received, or the time limit has passed.
    kCollected
  };
  struct LostHolder {
    Phase phase = Phase::kSuspected;
    base::MonoTime since;
    base::MonoTime next_step;
    std::set<base::RouterId> routers;
    std::map<base::RouterId, wire::CloseReport> reports;
    std::set<base::RouterId> requested;
    // Budgets with a lease to recover, and the holder ids under which routers
    // count its use.
    std::map<budget::BudgetKey, std::set<base::HolderId>> budgets;
    bool only_check_row = false;
  };

  LostHolder& Register(const base::HolderId& holder);
  void Advance(const base::HolderId& holder, LostHolder& lost);
  void CheckSuspected(const base::HolderId& holder, LostHolder& lost);
  void ReadRow(const base::HolderId& holder);
  void OnRow(const base::HolderId& holder,
             const base::Result<storage::Row>& read);
  void CloseRow(const base::HolderId& holder,
                HolderRecord record,
                std::uint64_t version);
  void StartCollecting(LostHolder& lost, const HolderRecord& record);
  void RestartCollecting(LostHolder& lost);
  void RequestReports(const base::HolderId& holder, LostHolder& lost);
  void RecoverLeases(const base::HolderId& holder, LostHolder& lost);
  bool HasFreshReports(const std::set<base::HolderId>& holders);
  void Retry(const base::HolderId& holder);
  void OnHolderRows(const base::Result<std::vector<storage::Row>>& rows);
  void RemoveScannedHolders();
  void DeleteRow(const base::HolderId& holder);
  void ScanBudgets();
  void OnBudgetRows(const base::Result<std::vector<storage::Row>>& rows);

  PlatformIo& platform_;
  const base::ZoneId zone_;
  const Hooks hooks_;
  std::map<base::HolderId, LostHolder> lost_;
  // Key of the last budget row scanned; nullopt when no scan is in progress.
  std::optional<std::string> budget_cursor_;
  // Key of the last holder row scanned; empty to start from the first.
  std::string holder_cursor_;
  // Closed holders that the scan in progress looks for, and those that the next
  // scan will look for.
  std::set<base::HolderId> scanned_holders_;
  std::set<base::HolderId> pending_holders_;
  // Holders of which the scan in progress has found leases.
  std::set<base::HolderId> holders_with_leases_;
  bool scanning_ = false;
  base::MonoTime next_scan_;
  base::MonoTime now_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_RECOVERY_H_
