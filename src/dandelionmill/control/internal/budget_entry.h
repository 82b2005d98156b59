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

// One budget of BudgetLeases.
struct BudgetLeases::Entry {
  Entry(budget::BudgetKey budget, const base::HolderId& holder)
      : key(std::move(budget)), lease(holder) {}

  struct Recovery {
    budget::HolderReports reports;
    RecoveryDone done;
  };
  struct Finished {
    base::HolderId lost;
    budget::Recovered result;
    RecoveryDone done;
  };

  const budget::BudgetKey key;
  budget::HolderLease lease;
  budget::DemandMeter demand;
  std::deque<Want> waiting;
  // Mean share of a reservation that is spent in the end; 0 until known.
  double use_ratio = 0;

  // The row as last read or written.
  std::optional<budget::Row> row;
  std::uint64_t version = 0;
  base::MonoTime read_at;
  base::MonoTime written_at;
  // A read or commit is under way.
  bool busy = false;
  base::MonoTime retry_at;
  // The write under way or of unknown outcome, repeated unchanged.
  std::optional<storage::Transaction> transaction;
  budget::Row written;
  bool sent_before = false;

  std::map<base::HolderId, Recovery> recoveries;
  // Recoveries that the write under way contains.
  std::vector<Finished> finishing;
  // Until then nothing is drawn ahead of need, as other zones wait.
  base::MonoTime scarce_until;
  bool recalled = false;
  base::MonoTime asked_others_at;

  base::Tokens TokensWaiting() const {
    base::Tokens total = 0;
    for (const Want& want : waiting)
      total += want.tokens;
    return total;
  }
  // Tokens that running requests can be expected to leave unspent.
  base::Tokens ExpectedBack() const {
    return static_cast<base::Tokens>((1 - use_ratio) *
                                     static_cast<double>(lease.reserved()));
  }
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_ENTRY_H_
