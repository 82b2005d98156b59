#include "dandelionmill/ctl/budget_rows.h"

#include <utility>

namespace dandelionmill::ctl {
namespace {

Grants GrantsOf(const inventory::Document& document) {
  Grants grants;
  for (const inventory::Account& account : document.accounts) {
    for (const inventory::Budget& budget : account.budgets)
      grants[{account.id, budget.name}] = budget.granted;
  }
  return grants;
}

base::Error WithBudgetName(const budget::BudgetKey& key,
                           const base::Error& error) {
  return {error.code,
          key.account.value() + "/" + key.name + ": " + error.detail};
}

}  // namespace

Grants ChangedGrants(const inventory::Document& before,
                     const inventory::Document& after) {
  const Grants old_grants = GrantsOf(before);
  Grants changed;
  for (const auto& [key, granted] : GrantsOf(after)) {
    const auto found = old_grants.find(key);
    if (found == old_grants.end() || found->second != granted)
      changed[key] = granted;
  }
  return changed;
}

storage::RowWrite MakeRowCreation(const budget::BudgetKey& key,
                                  base::Tokens granted) {
  budget::Row row;
  row.granted = granted;
  return {budget::RowKey(key), 0, budget::ToJson(row)};
}

base::Result<budget::Row> ReadBudget(storage::TableReader& table,
                                     const budget::BudgetKey& key) {
  const base::Result<storage::Row> row = table.Read(budget::RowKey(key));
  if (!base::IsOk(row))
    return base::ErrorOf(row);
  if (base::ValueOf(row).version == 0)
    return budget::Row();
  return budget::ParseRow(base::ValueOf(row).value);
}

base::Result<storage::RowWrite> MakeGrantUpdate(storage::TableReader& table,
                                                const budget::BudgetKey& key,
                                                base::Tokens granted) {
  const base::Result<storage::Row> row = table.Read(budget::RowKey(key));
  if (!base::IsOk(row))
    return base::ErrorOf(row);
  if (base::ValueOf(row).version == 0)
    return MakeRowCreation(key, granted);
  base::Result<budget::Row> parsed = budget::ParseRow(base::ValueOf(row).value);
  if (!base::IsOk(parsed))
    return WithBudgetName(key, base::ErrorOf(parsed));
  base::Result<budget::Row> changed =
      budget::ApplyGranted(base::ValueOf(std::move(parsed)), granted);
  if (!base::IsOk(changed))
    return WithBudgetName(key, base::ErrorOf(changed));
  return storage::RowWrite{budget::RowKey(key), base::ValueOf(row).version,
                           budget::ToJson(base::ValueOf(changed))};
}

}  // namespace dandelionmill::ctl
