#ifndef SRC_DANDELIONMILL_BUDGET_RECOVERY_H_
#define SRC_DANDELIONMILL_BUDGET_RECOVERY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/budget/holder_lease.h"
#include "dandelionmill/budget/row.h"

namespace dandelionmill::budget {

// An attempt that still runs at a router under a lost holder's reservation.
struct RunningReservation {
  base::AttemptId attempt;
  base::Tokens tokens = 0;
};

// One router's use of one budget under one holder. The router has closed the
// holder, so it accepts no more reservations from it.
struct RouterUse {
  // Tokens settled since the router started.
  base::Tokens settled = 0;
  std::vector<RunningReservation> running;
};

using RouterUses = std::map<base::RouterId, RouterUse>;
// Reports by the holder under which the routers count the use.
using HolderReports = std::map<base::HolderId, RouterUses>;

// The result of closing a lost holder's lease.
struct RecoveryResult {
  // The row without the lease.
  Row row;
  // Reservations that the new holder must draw tokens for and keep, by router.
  std::map<base::RouterId, std::vector<RunningReservation>> adopted;
  // Entries to add to Lease::took of the new holder.
  std::map<base::HolderId, std::map<base::RouterId, base::Tokens>> took;
  // Unused tokens returned to the budget.
  base::Tokens returned = 0;
  base::Tokens written_off = 0;
};

// Returns the holders under which routers count the use of `holder`'s lease:
// `holder` itself and those whose reservations it took over.
std::set<base::HolderId> AccountingHolders(const Row& row,
                                           const base::HolderId& holder);

// Closes the lease of `holder` on the budget of `row`. For each holder in
// AccountingHolders(), `reports` contains the routers that have closed it,
// including those that did not use this budget. A router of the lease that is
// missing for any of these holders is charged up to its ceiling. This is safe
// even while `holder` is running: its new reservations are dropped by routers
// that closed it, and stay within the ceiling at the others.
RecoveryResult RecoverLease(const Row& row,
                            const base::HolderId& holder,
                            const HolderReports& reports);

// Returns the lease change with which the new holder takes over the adopted
// reservations of `recovered`.
LeaseChange TakeoverChange(const RecoveryResult& recovered);

}  // namespace dandelionmill::budget

#endif  // SRC_DANDELIONMILL_BUDGET_RECOVERY_H_
