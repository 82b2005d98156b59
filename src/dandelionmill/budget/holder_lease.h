#ifndef SRC_DANDELIONMILL_BUDGET_HOLDER_LEASE_H_
#define SRC_DANDELIONMILL_BUDGET_HOLDER_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/budget/row.h"

namespace dandelionmill::budget {

// The changes that a write makes to a holder's lease in the budget row.
struct LeaseChange {
  // Tokens to draw; negative to return. Tokens in use are never returned.
  base::Tokens draw = 0;
  // Tokens by which each router's ceiling exceeds its current use. A router
  // that is not listed can make no new reservations.
  std::map<base::RouterId, base::Tokens> slices;
  // Tokens of the reservations taken over from a lost holder, by router. They
  // are drawn in addition to `draw`.
  std::map<base::RouterId, base::Tokens> adopted;
  // Entries to add to Lease::took.
  std::map<base::HolderId, std::map<base::RouterId, base::Tokens>> took;
};

// Tracks one holder's lease on one budget. A reservation counts as spent as
// soon as it is made. Only state known to be committed in the table is used:
// while the outcome of a write is unknown, the lower value of both outcomes
// applies.
class HolderLease {
 public:
  explicit HolderLease(base::HolderId holder);

  // Queries.
  // Tokens that can still be reserved for all routers together.
  base::Tokens Available() const;
  // Tokens that can still be reserved for `router`.
  base::Tokens AvailableTo(const base::RouterId& router) const;
  // Tokens reserved and not yet settled, for all routers.
  base::Tokens reserved() const { return reserved_; }
  // Tokens spent but not yet counted in the committed row.
  base::Tokens UnrecordedSettled() const {
    return settled_ - committed_.settled;
  }
  // Tokens drawn and not settled according to the last known committed row.
  base::Tokens Outstanding() const { return committed_.outstanding(); }
  // Tokens drawn since the holder started, according to the last known
  // committed row.
  base::Tokens drawn() const { return committed_.drawn; }
  bool HasWriteInFlight() const { return pending_.has_value(); }
  // Tokens that `router` has spent or reserved.
  base::Tokens UsedBy(const base::RouterId& router) const;
  bool IsClosed() const { return closed_; }

  // Reservations.
  // Reserves `tokens` for `router`. Returns false and changes nothing when
  // `tokens` exceeds AvailableTo().
  bool Reserve(const base::RouterId& router, base::Tokens tokens);
  // Returns `tokens` of a reservation to the lease.
  void Release(const base::RouterId& router, base::Tokens tokens);
  // Ends a reservation of `reserved` tokens, of which `used` (at most
  // `reserved`) were spent.
  void Settle(const base::RouterId& router,
              base::Tokens reserved,
              base::Tokens used);

  // Writes of the table row. Only one write may be in flight; while its outcome
  // is unknown it may only be repeated unchanged, until OnRow() or
  // OnCommitted() determines the outcome.
  //
  // Returns the row to commit in place of `row` at version `version`, and marks
  // the write as in flight. Draws at most the free tokens of the row.
  Row Prepare(Row row, std::uint64_t version, const LeaseChange& change);
  // Must be called when the write in flight was committed.
  void OnCommitted();
  // Must be called when no copy of the write in flight was or can still be
  // committed.
  void OnRejected();
  // How a row passed to OnRow() relates to this lease.
  enum class RowStatus {
    kCurrent,
    // The row is older than the last known one and was ignored.
    kStale,
    // The lease was closed; no more reservations can be made.
    kClosed
  };
  // Updates the lease from a row read from the table. Determines the outcome of
  // a write in flight once `version` shows that it was committed or no longer
  // can be.
  RowStatus OnRow(const Row& row, std::uint64_t version);

 private:
  struct Usage {
    base::Tokens reserved = 0;
    base::Tokens settled = 0;
  };
  struct PendingWrite {
    std::uint64_t base_version = 0;
    Lease lease;
    std::map<base::RouterId, base::Tokens> adopted;
  };

  base::Tokens EffectiveCeiling(const base::RouterId& router) const;
  void SetCeilings(Lease& lease, const LeaseChange& change) const;
  void Apply(const PendingWrite& pending);

  const base::HolderId holder_;
  // The lease as committed in row version `committed_version_`.
  Lease committed_;
  std::uint64_t committed_version_ = 0;
  std::optional<PendingWrite> pending_;
  bool closed_ = false;
  base::Tokens reserved_ = 0;
  base::Tokens settled_ = 0;
  std::map<base::RouterId, Usage> usage_;
};

}  // namespace dandelionmill::budget

#endif  // SRC_DANDELIONMILL_BUDGET_HOLDER_LEASE_H_
