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

// Returns the write that creates the row of a budget, on condition that the
// row does not exist.
storage::RowWrite MakeRowCreation(const budget::BudgetKey& key,
                                  base::Tokens granted);

// Reads a budget's row; returns a row of zeros when it does not exist. Fails
// with kStoreUnavailable or kMalformedMessage.
base::Result<budget::Row> ReadBudget(storage::TableReader& table,
                                     const budget::BudgetKey& key);

// Returns the write that sets the grant of one budget, on condition that its
// row keeps its current version; a row that does not exist is created. Fails
// with kBudgetFloor when the grant is below the tokens settled, leased and
// written off, and with the errors of ReadBudget.
base::Result<storage::RowWrite> MakeGrantUpdate(storage::TableReader& table,
                                                const budget::BudgetKey& key,
                                                base::Tokens granted);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_BUDGET_ROWS_H_
