#include "dandelionmill/budget/recovery.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace dandelionmill::budget {
namespace {

// Maximum number of lost holders recorded per budget.
constexpr std::size_t kMaxLostHolders = 16;

using Adopted = std::map<base::RouterId, std::vector<RunningReservation>>;

// Returns the use of one router under the lease, or nullopt when the router has
// not closed every holder under which it may count use of the lease.
std::optional<RouterUse> UseUnderLease(
    const base::RouterId& router,
    const Lease& lease,
    const std::set<base::HolderId>& accounting_holders,
    const HolderReports& reports) {
  RouterUse total;
  for (const base::HolderId& holder : accounting_holders) {
    const auto by_router = reports.find(holder);
    if (by_router == reports.end())
      return std::nullopt;
    const auto use = by_router->second.find(router);
    if (use == by_router->second.end())
      return std::nullopt;
    const auto took = lease.took.find(holder);
    base::Tokens settled_before = 0;
    if (took != lease.took.end()) {
      // Tokens settled before the takeover were charged to the lost holder's
      // lease, as was all use of a router that did not report at that time.
      const auto settled = took->second.find(router);
      if (settled == took->second.end())
        continue;
      settled_before = settled->second;
    }
    total.settled += use->second.settled - settled_before;
    total.running.insert(total.running.end(), use->second.running.begin(),
                         use->second.running.end());
  }
  return total;
}

// Adds the running attempts of one router to `adopted` and returns their
// tokens. An attempt that is attached to two routers is reported by both and
// counted once.
base::Tokens AdoptRunning(const base::RouterId& router,
                          const RouterUse& use,
                          std::set<base::AttemptId>& seen_attempts,
                          Adopted& adopted) {
  base::Tokens total = 0;
  for (const RunningReservation& running : use.running) {
    if (!seen_attempts.insert(running.attempt).second)
      continue;
    total += running.tokens;
    adopted[router].push_back(running);
  }
  return total;
}

// Reduces reservations to at most `limit` tokens in total. This is necessary
// only when a router sends a wrong report.
void LimitAdopted(Adopted& adopted, base::Tokens limit) {
  for (auto& [router, reservations] : adopted) {
    for (RunningReservation& reservation : reservations) {
      reservation.tokens = std::min(reservation.tokens, limit);
      limit -= reservation.tokens;
    }
  }
}

void RecordLostHolder(Row& row, const base::HolderId& holder, LostHolder lost) {
  if (lost.written_off == 0)
    return;
  if (row.lost.size() >= kMaxLostHolders)
    row.lost.erase(row.lost.begin());
  row.lost[holder] = std::move(lost);
}

// Records what each router had settled under the old holders, so that the new
// holder's lease is charged only for use after the takeover.
void RecordTakeover(const std::set<base::HolderId>& accounting_holders,
                    const HolderReports& reports,
                    RecoveryResult& recovered) {
  if (recovered.adopted.empty())
    return;
  for (const base::HolderId& holder : accounting_holders) {
    const auto by_router = reports.find(holder);
    if (by_router == reports.end())
      continue;
    auto& settled = recovered.took[holder];
    for (const auto& [router, use] : by_router->second)
      settled[router] = use.settled;
  }
}

}  // namespace

std::set<base::HolderId> AccountingHolders(const Row& row,
                                           const base::HolderId& holder) {
  std::set<base::HolderId> holders = {holder};
  const auto lease = row.leases.find(holder);
  if (lease == row.leases.end())
    return holders;
  for (const auto& [lost, settled] : lease->second.took)
    holders.insert(lost);
  return holders;
}

RecoveryResult RecoverLease(const Row& row,
                            const base::HolderId& holder,
                            const HolderReports& reports) {
  RecoveryResult recovered;
  recovered.row = row;
  const auto found = row.leases.find(holder);
  if (found == row.leases.end())
    return recovered;
  const Lease& lease = found->second;
  const std::set<base::HolderId> accounting_holders =
      AccountingHolders(row, holder);
  std::set<base::AttemptId> seen_attempts;
  base::Tokens known_settled = lease.retired;
  base::Tokens running = 0;
  base::Tokens unreported_ceilings = 0;
  LostHolder lost;
  for (const auto& [router, ceiling] : lease.ceilings) {
    const auto use = UseUnderLease(router, lease, accounting_holders, reports);
    if (!use) {
      lost.ceilings[router] = ceiling;
      unreported_ceilings += ceiling;
      continue;
    }
    known_settled += use->settled;
    running += AdoptRunning(router, *use, seen_attempts, recovered.adopted);
  }
  // Reservations cannot exceed the tokens drawn; any reported excess was
  // counted twice.
  const base::Tokens spent = std::min(
      std::max(known_settled + running + unreported_ceilings, lease.settled),
      lease.drawn);
  base::Tokens unsettled = spent - lease.settled;
  running = std::min(running, unsettled);
  LimitAdopted(recovered.adopted, running);
  unsettled -= running;
  const base::Tokens settled_now = std::min(
      std::max<base::Tokens>(0, known_settled - lease.settled), unsettled);
  recovered.written_off = unsettled - settled_now;
  recovered.returned = lease.drawn - spent;
  recovered.row.settled += settled_now;
  recovered.row.written_off += recovered.written_off;
  recovered.row.leases.erase(holder);
  lost.written_off = recovered.written_off;
  RecordLostHolder(recovered.row, holder, std::move(lost));
  RecordTakeover(accounting_holders, reports, recovered);
  return recovered;
}

LeaseChange TakeoverChange(const RecoveryResult& recovered) {
  LeaseChange change;
  change.took = recovered.took;
  for (const auto& [router, reservations] : recovered.adopted) {
    for (const RunningReservation& reservation : reservations)
      change.adopted[router] += reservation.tokens;
  }
  return change;
}

}  // namespace dandelionmill::budget
