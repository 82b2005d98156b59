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

// Configuration of a budget, from the inventory.
struct BudgetConfig {
  // Initial grant, used when the table has no row yet.
  base::Tokens granted = 0;
  budget::LeasePolicy policy;
};

// The leases of this holder. Draws and returns tokens and records spent ones in
// transactions on the budget rows, one at a time per budget, and queues
// requests until tokens are available. Used on the control thread only.
class BudgetLeases {
 public:
  struct Hooks {
    // Returns nullopt when the inventory does not contain the budget.
    std::function<std::optional<BudgetConfig>(const budget::BudgetKey&)>
        budget_config;
    // Returns the routers heard from recently. Those that are named in the
    // holder row get a slice of each lease.
    std::function<const std::set<base::RouterId>&()> live_routers;
    // Called for each lease of another holder in each row read.
    std::function<void(const budget::BudgetKey&,
                       const base::HolderId&,
                       const std::set<base::HolderId>& counted_under)>
        on_other_lease;
    // Called for each holder of tokens that requests here wait for.
    std::function<void(const budget::BudgetKey&,
                       const base::HolderId&,
                       base::Tokens wanted)>
        on_shortage;
    // Called when another control has closed this holder.
    std::function<void()> on_closed;
  };
  // A request for tokens. `done` is called once, possibly before Reserve()
  // returns: with nullopt when the tokens are reserved, else with the refusal.
  struct TokenRequest {
    budget::BudgetKey key;
    base::RouterId router;
    base::Tokens tokens = 0;
    // Time at which the request is refused if it still waits.
    base::MonoTime wait_until;
    std::function<void(std::optional<idempotency::Rejected>)> done;
  };
  // Called when the lease of a lost holder has been merged into the row.
  using RecoveryDone = std::function<void(const budget::RecoveryResult&)>;

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
  void Reserve(TokenRequest request, base::MonoTime now);
  void Release(const budget::BudgetKey& key,
               const base::RouterId& router,
               base::Tokens tokens);
  void Settle(const budget::BudgetKey& key,
              const base::RouterId& router,
              base::Tokens reserved,
              base::Tokens used);
  // Reserves tokens for a second router of a running attempt. Returns false
  // instead of waiting when the lease has too few.
  bool ReserveNow(const budget::BudgetKey& key,
                  const base::RouterId& router,
                  base::Tokens tokens);
  // Merges the lease of a lost holder into the row, with the reports of the
  // routers that closed the holder.
  void Recover(const budget::BudgetKey& key,
               const base::HolderId& lost,
               budget::HolderReports reports,
               RecoveryDone done);
  // Returns unused tokens because another zone waits for them.
  void Recall(const budget::BudgetKey& key, base::MonoTime now);
  void OnTick(base::MonoTime now);
  // Must be called when the holder row has changed.
  void OnHolderRow();
  // Returns all tokens that are not reserved.
  void OnLeave();
  // Removes and returns the waiting requests without calling `done`.
  std::vector<TokenRequest> TakeWaiting();

  // Queries.
  // Returns nullptr if the budget has not been used here.
  const budget::HolderLease* Find(const budget::BudgetKey& key) const;
  bool IsDrained() const;
  std::size_t waiting() const;
  const Counters& counters() const { return counters_; }
  void Dump(nlohmann::json& dump) const;

 private:
  struct Entry;

  Entry& EntryOf(const budget::BudgetKey& key);
  // Processes the waiting requests of a budget and starts the next read or
  // write.
  void Advance(Entry& entry);
  void AdvanceActive();
  void StartIo(Entry& entry);
  void ServeWaiting(Entry& entry);
  void RefuseExpired(Entry& entry);
  void RefuseUnsatisfiable(Entry& entry);
  void RefuseDuringOutage(Entry& entry);
  bool NeedsWrite(const Entry& entry) const;
  bool WriteIsUseful(const Entry& entry) const;
  budget::SizingInput Sizing(const Entry& entry, const budget::Row& row) const;
  budget::LeasePolicy PolicyOf(const Entry& entry) const;
  budget::LeaseChange PlanChange(const Entry& entry,
                                 const budget::Row& row) const;
  void Read(Entry& entry);
  void OnRead(Entry& entry, const base::Result<storage::Row>& read);
  bool ApplyRow(Entry& entry, const storage::Row& read);
  void ReportOtherLeases(Entry& entry);
  void StartCommit(Entry& entry);
  void SendCommit(Entry& entry);
  void RetryCommit(Entry& entry);
  void OnCommit(Entry& entry, const base::Status& status);
  void OnWritten(Entry& entry);
  void OnStoreFailure(Entry& entry);

  PlatformIo& platform_;
  HolderRow& holder_;
  const Hooks hooks_;
  std::map<budget::BudgetKey, std::unique_ptr<Entry>> entries_;
  // Budgets with waiting requests, recoveries or I/O in progress.
  std::set<Entry*> active_;
  std::optional<base::MonoTime> outage_since_;
  base::MonoTime now_;
  base::MonoTime next_sweep_;
  bool leaving_ = false;
  Counters counters_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_LEASES_H_
