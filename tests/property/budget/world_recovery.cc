// Implements the recovery of holders in World.

#include <algorithm>

#include "tests/property/budget/world.h"
#include "tests/property/budget/world_parts.h"

// Recovery may start at any time for any holder, whether dead, paused or busy.
void World::CloseHolder(Holder& recoverer, Holder& lost) {
  if (!recoverer.alive || &recoverer == &lost)
    return;
  Send([&lost] { lost.row_closed = true; });
}

void World::RequestReports(Holder& recoverer, Holder& lost) {
  if (!recoverer.alive || &recoverer == &lost || !lost.row_closed)
    return;
  for (const auto& entry : routers_) {
    Router& router = *entry;
    Send([this, &recoverer, &router, &lost] {
      if (!router.alive)
        return;
      router.closed.insert(lost.id);
      budget::RouterUse use;
      use.settled = router.settled[lost.id];
      for (const auto& [id, held] : router.running) {
        if (held.holder == lost.id)
          use.running.push_back({id, held.tokens});
      }
      Send([&recoverer, &router, &lost, use] {
        recoverer.reports[lost.id][router.id] = use;
      });
    });
  }
}

// Routers that have not reported yet are charged up to their ceilings.
void World::RecoverHolder(Holder& recoverer, Holder& lost) {
  if (!recoverer.alive || &recoverer == &lost || !lost.row_closed ||
      recoverer.write_open || !recoverer.last_row ||
      recoverer.lease.IsClosed() ||
      recoverer.last_row->leases.count(lost.id) == 0)
    return;
  recoverer.recoveries = {
      budget::RecoverLease(*recoverer.last_row, lost.id, recoverer.reports)};
  Write(recoverer, 0);
}

void World::AdoptReservations(Holder& holder) {
  for (const budget::RecoveryResult& recovered : holder.recoveries) {
    for (const auto& [router, reservations] : recovered.adopted) {
      for (const budget::RunningReservation& reservation : reservations) {
        const auto settled = settled_tokens_.find(reservation.attempt);
        if (settled != settled_tokens_.end()) {
          holder.lease.Settle(router, reservation.tokens,
                              std::min(settled->second, reservation.tokens));
        } else {
          holder.reservations[reservation.attempt] = {
              router, reservation.tokens, {}};
        }
      }
    }
  }
  holder.recoveries.clear();
}

void World::DeliverAllMessages() {
  while (!network_.empty())
    DeliverMessage(0);
}

// Adds a holder that recovers all others. Returns the new holder.
World::Holder& World::RecoverAllHolders() {
  AddHolder();
  Holder& next = *holders_.back();
  for (std::size_t i = 0; i + 1 < holders_.size(); ++i) {
    CloseHolder(next, *holders_[i]);
    DeliverAllMessages();
    RequestReports(next, *holders_[i]);
  }
  DeliverAllMessages();
  for (std::size_t i = 0; i + 1 < holders_.size(); ++i) {
    Read(next);
    DeliverAllMessages();
    RecoverHolder(next, *holders_[i]);
    DeliverAllMessages();
  }
  return next;
}

void World::Settle() {
  DeliverAllMessages();
  RecoverAllHolders();
  // Some attempts finish under the first successor and the rest under the
  // second.
  for (int i = 0; i < static_cast<int>(attempts_.size()); i += 2)
    FinishAttempt(i);
  DeliverAllMessages();
  Holder& last = RecoverAllHolders();
  for (int i = 0; i < static_cast<int>(attempts_.size()); ++i)
    FinishAttempt(i);
  DeliverAllMessages();
  // Engines report the use of attempts whose router was lost.
  for (const auto& [id, attempt] : attempts_)
    OnSettle(id, attempt.used);
  Read(last);
  DeliverAllMessages();
  Write(last, -kWorldGranted * 100);
  DeliverAllMessages();
}
