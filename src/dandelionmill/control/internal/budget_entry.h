#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_ENTRY_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_ENTRY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "dandelionmill/budget/demand.h"
#include "dandelionmill/budget/holder_lease.h"
#include "dandelionmill/budget/recovery.h"
#include "dandelionmill/budget/row.h"
#include "dandelionmill/control/internal/budget_leases.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::control {

// State of one budget in BudgetLeases.
struct BudgetLeases::Entry {
  Entry(budget::BudgetKey budget, const base::HolderId& holder)
      : key(std::move(budget)), lease(holder) {}

  struct Recovery {
    budget::HolderReports reports;
    RecoveryDone done;
  };
  struct CompletedRecovery {
    base::HolderId lost;
    budget::RecoveryResult result;
    RecoveryDone done;
  };

  const budget::BudgetKey key;
  budget::HolderLease lease;
  budget::DemandMeter demand;
  std::deque<TokenRequest> waiting;
  // Moving average of the spent fraction of reservations; starts at 0.
  double use_ratio = 0;

  // The row as last read or written.
  std::optional<budget::Row> row;
  std::uint64_t version = 0;
  base::MonoTime read_at;
  base::MonoTime written_at;
  // A read or commit is in progress.
  bool busy = false;
  base::MonoTime retry_at;
  // The write in progress or of unknown outcome; retried unchanged.
  std::optional<storage::Transaction> transaction;
  budget::Row written;
  bool sent_before = false;

  std::map<base::HolderId, Recovery> recoveries;
  // Recoveries included in the write in progress.
  std::vector<CompletedRecovery> completing;
  // Until then little is drawn ahead of demand, because other zones wait for
  // tokens.
  base::MonoTime scarce_until;
  bool recalled = false;
  base::MonoTime recalled_others_at;

  base::Tokens TokensWaiting() const {
    base::Tokens total = 0;
    for (const TokenRequest& request : waiting)
      total += request.tokens;
    return total;
  }
  // Estimate of the reserved tokens that running requests will leave unspent.
  base::Tokens ExpectedReturn() const {
    return static_cast<base::Tokens>((1 - use_ratio) *
                                     static_cast<double>(lease.reserved()));
  }
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_ENTRY_H_
