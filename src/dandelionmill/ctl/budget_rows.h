#ifndef SRC_DANDELIONMILL_CTL_BUDGET_ROWS_H_
#define SRC_DANDELIONMILL_CTL_BUDGET_ROWS_H_

#include <map>

#include "dandelionmill/base/result.h"
#include "dandelionmill/budget/row.h"
#include "dandelionmill/inventory/document.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::ctl {

// Granted tokens by budget.
using Grants = std::map<budget::BudgetKey, base::Tokens>;

// Returns the budgets of `after` that are new or whose grant differs.
Grants ChangedGrants(const inventory::Document& before,
                     const inventory::Document& after);

// Returns the write that creates the row of a budget that has none.
storage::RowWrite CreateRow(const budget::BudgetKey& key, base::Tokens granted);

// Reads a budget's row; one that does not exist is all zero. Fails with
// kStoreUnavailable or kMalformedMessage.
base::Result<budget::Row> ReadBudget(storage::TableReader& table,
                                     const budget::BudgetKey& key);

// Returns the write that sets the grant of one budget, on condition that its
// row stays as it is now; a row that does not exist is created. Fails with
// kBudgetFloor when the grant is below what is settled and leased, and as
// ReadBudget.
base::Result<storage::RowWrite> SetGrant(storage::TableReader& table,
                                         const budget::BudgetKey& key,
                                         base::Tokens granted);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_BUDGET_ROWS_H_
