#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_LEASES_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_LEASES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/budget/demand.h"
#include "dandelionmill/budget/holder_lease.h"
#include "dandelionmill/budget/lease_policy.h"
#include "dandelionmill/budget/recovery.h"
#include "dandelionmill/budget/row.h"
#include "dandelionmill/control/internal/budget_holder_row.h"
#include "dandelionmill/idempotency/attempt_table.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::control {

class PlatformIo;

// What the inventory says of one budget.
struct BudgetTerms {
  // Used when the table has no row yet.
  base::Tokens granted = 0;
  budget::LeasePolicy policy;
};

// The leases of this holder: draws, folds and returns them in transactions on
// the budget rows, one at a time per budget, and lets requests wait for them.
// Lives on the control thread.
class BudgetLeases {
 public:
  struct Hooks {
    // Nothing when the inventory no longer names the budget.
    std::function<std::optional<BudgetTerms>(const budget::BudgetKey&)> terms;
    // Routers that are alive; those named in the holder row get a slice.
    std::function<const std::set<base::RouterId>&()> live_routers;
    // A row holds a lease of another holder; called for each row read.
    std::function<void(const budget::BudgetKey&,
                       const base::HolderId&,
                       const std::set<base::HolderId>& counted_under)>
        on_other_lease;
    // Requests wait for tokens that other holders have.
    std::function<void(const budget::BudgetKey&,
                       const base::HolderId&,
                       base::Tokens wanted)>
        on_scarce;
    // Our leases have been closed by others.
    std::function<void()> on_closed;
  };
  // A request for tokens. `done` runs once, possibly at once: with nothing when
  // the tokens are reserved, or with the refusal.
  struct Want {
    budget::BudgetKey key;
    base::RouterId router;
    base::Tokens tokens = 0;
    // How long it may wait.
    base::MonoTime wait_until;
    std::function<void(std::optional<idempotency::Rejected>)> done;
  };
  // Runs when a lost holder's lease has been folded into the row.
  using RecoveryDone = std::function<void(const budget::Recovered&)>;

  struct Counters {
    std::int64_t draws = 0;
    std::int64_t returns = 0;
    std::int64_t conflicts = 0;
    std::int64_t commits = 0;
    base::Tokens written_off = 0;
  };

  BudgetLeases(PlatformIo& platform, HolderRow& holder, Hooks hooks);
  ~BudgetLeases();

  // Commands.
  void Reserve(Want want, base::MonoTime now);
  void Release(const budget::BudgetKey& key,
               const base::RouterId& router,
               base::Tokens tokens);
  void Settle(const budget::BudgetKey& key,
              const base::RouterId& router,
              base::Tokens reserved,
              base::Tokens used);
  // Reserves tokens for a second router of a running attempt, without waiting.
  bool ReserveNow(const budget::BudgetKey& key,
                  const base::RouterId& router,
                  base::Tokens tokens);
  // Folds the lease of a lost holder, with the reports of the routers
  // that closed it.
  void Recover(const budget::BudgetKey& key,
               const base::HolderId& lost,
               budget::HolderReports reports,
               RecoveryDone done);
  // Another zone waits for tokens of this budget.
  void Recall(const budget::BudgetKey& key, base::MonoTime now);
  void OnTick(base::MonoTime now);
  // The holder row has changed.
  void OnHolderRow();
  // Returns everything that is not in use.
  void OnLeave();
  // Hands over the requests that wait, without an answer.
  std::vector<Want> TakeWaiting();

  // Queries.
  // Returns nullptr for a budget that has not been used here.
  const budget::HolderLease* Find(const budget::BudgetKey& key) const;
  bool IsDrained() const;
  std::size_t waiting() const;
  const Counters& counters() const { return counters_; }
  void Dump(nlohmann::json& dump) const;

 private:
  struct Entry;

  Entry& EntryOf(const budget::BudgetKey& key);
  // Takes the next step of a budget: serves, reads or writes.
  void Pump(Entry& entry);
  void PumpUrgent();
  void Step(Entry& entry);
  void Serve(Entry& entry);
  void RefuseLate(Entry& entry);
  void RefuseHopeless(Entry& entry);
  void RefuseInOutage(Entry& entry);
  bool WantsWrite(const Entry& entry) const;
  bool WriteHelps(const Entry& entry) const;
  budget::SizingInput Sizing(const Entry& entry, const budget::Row& row) const;
  budget::LeasePolicy PolicyOf(const Entry& entry) const;
  budget::LeaseChange PlanChange(const Entry& entry,
                                 const budget::Row& row) const;
  void Read(Entry& entry);
  void OnRead(Entry& entry, const base::Result<storage::Row>& read);
  bool LearnRow(Entry& entry, const storage::Row& read);
  void ReportOtherLeases(Entry& entry);
  void Commit(Entry& entry);
  void Send(Entry& entry);
  void Repeat(Entry& entry);
  void OnCommit(Entry& entry, const base::Status& status);
  void OnStored(Entry& entry);
  void OnStoreFailure(Entry& entry);

  PlatformIo& platform_;
  HolderRow& holder_;
  const Hooks hooks_;
  std::map<budget::BudgetKey, std::unique_ptr<Entry>> entries_;
  // Budgets with requests that wait or work that is due.
  std::set<Entry*> urgent_;
  std::optional<base::MonoTime> outage_since_;
  base::MonoTime now_;
  base::MonoTime next_sweep_;
  bool leaving_ = false;
  Counters counters_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_LEASES_H_
