#ifndef SRC_DANDELIONMILL_BUDGET_ROW_H_
#define SRC_DANDELIONMILL_BUDGET_ROW_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::budget {

// Identifies one prepaid budget of a client account.
struct BudgetKey {
  base::AccountId account;
  std::string name;

  friend bool operator==(const BudgetKey& a, const BudgetKey& b) {
    return a.account == b.account && a.name == b.name;
  }
  friend bool operator<(const BudgetKey& a, const BudgetKey& b) {
    return std::tie(a.account, a.name) < std::tie(b.account, b.name);
  }
};

// The tokens that one holder has drawn from a budget. All counts are cumulative
// since the holder started, so that writing the same state twice is idempotent.
struct Lease {
  // Tokens drawn from the budget minus tokens returned to it.
  base::Tokens drawn = 0;
  // Part of `drawn` that was spent and is counted in Row::settled.
  base::Tokens settled = 0;
  // Number of writes by the holder; identifies the write that was committed.
  std::uint64_t sequence = 0;
  // Maximum tokens that each router can have spent or reserved under this
  // lease. The holder never grants more than the ceiling in the committed row.
  std::map<base::RouterId, base::Tokens> ceilings;
  // Tokens spent by routers that were removed from `ceilings`.
  base::Tokens retired = 0;
  // Lost holders whose running reservations this lease has taken over, with the
  // tokens that each router had settled under them at that time. Routers
  // continue to count those attempts under the lost holder.
  std::map<base::HolderId, std::map<base::RouterId, base::Tokens>> took;

  base::Tokens outstanding() const { return drawn - settled; }
};

// Tokens written off in the recovery of a lost holder; shown to operators.
struct LostHolder {
  base::Tokens written_off = 0;
  // Routers that were lost as well, each with the maximum tokens that it can
  // have spent.
  std::map<base::RouterId, base::Tokens> ceilings;
};

// The table row of a budget. Every committed row satisfies
// settled + outstanding of all leases + written_off <= granted.
struct Row {
  base::Tokens granted = 0;
  base::Tokens settled = 0;
  // Tokens that lost processes may have spent without reporting it.
  base::Tokens written_off = 0;
  std::map<base::HolderId, Lease> leases;
  std::map<base::HolderId, LostHolder> lost;
};

// Returns the key of the row in the table.
std::string RowKey(const BudgetKey& key);

// Parses the JSON value of a row. Fails with kMalformedMessage.
base::Result<Row> ParseRow(const std::string& text);

// Returns the row's value as JSON.
std::string ToJson(const Row& row);

// Returns the tokens that are leased and not settled.
base::Tokens Outstanding(const Row& row);

// Returns the tokens that are neither leased, settled nor written off.
base::Tokens Free(const Row& row);

// Returns the minimum value of `granted`: all tokens settled, leased and
// written off.
base::Tokens MinimumGranted(const Row& row);

// Returns `row` with `granted` replaced. Fails with kBudgetFloor, and reports
// the minimum in the error, when `granted` is below MinimumGranted().
base::Result<Row> ApplyGranted(Row row, base::Tokens granted);

}  // namespace dandelionmill::budget

#endif  // SRC_DANDELIONMILL_BUDGET_ROW_H_
