#include "tests/property/budget/world.h"

#include <algorithm>
#include <utility>

#include "tests/property/budget/world_parts.h"

using dandelionmill::base::IsOk;
using dandelionmill::base::ValueOf;

namespace {

constexpr int kHolders = 3;
constexpr int kRouters = 3;

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.kind << "," << step.actor << "," << step.target
             << "," << step.amount << "}";
}

World::World(Recovery recovery) : recovery_(recovery) {
  row_.granted = kWorldGranted;
  for (int i = 0; i < kRouters; ++i)
    AddRouter();
  for (int i = 0; i < kHolders; ++i)
    AddHolder();
  DeliverAllMessages();
}

void World::AddHolder() {
  holders_.push_back(std::make_unique<Holder>(
      HolderId("h/" + std::to_string(holders_.size()))));
  Read(*holders_.back());
}

void World::AddRouter() {
  routers_.push_back(std::make_unique<Router>());
  routers_.back()->id = RouterId("r/" + std::to_string(routers_.size()));
}

World::~World() = default;

World::Holder& World::PickHolder(int index) {
  return *holders_[static_cast<std::size_t>(index) % holders_.size()];
}

World::Holder& World::PickUsableHolder(int index) {
  for (std::size_t i = 0; i < holders_.size(); ++i) {
    Holder& holder = PickHolder(index + static_cast<int>(i));
    if (holder.alive && !holder.lease.IsClosed())
      return holder;
  }
  return PickHolder(index);
}

World::Router& World::PickRouter(int index) {
  return *routers_[static_cast<std::size_t>(index) % routers_.size()];
}

bool World::LeasesAreCovered() const {
  for (const auto& holder : holders_) {
    const auto lease = row_.leases.find(holder->id);
    if (holder->lease.IsClosed() || lease == row_.leases.end())
      continue;
    if (holder->lease.Available() < 0 || lease->second.outstanding() < 0)
      return false;
    Tokens used_without_ceiling = 0;
    for (const auto& router : routers_) {
      const Tokens used = holder->lease.UsedBy(router->id);
      const auto ceiling = lease->second.ceilings.find(router->id);
      if (ceiling == lease->second.ceilings.end())
        used_without_ceiling += used;
      else if (used > ceiling->second)
        return false;
    }
    if (used_without_ceiling > lease->second.retired)
      return false;
  }
  return true;
}

void World::Execute(const Step& step) {
  Holder& holder = PickUsableHolder(step.actor);
  const bool recovery_allowed = recovery_ == Recovery::kAtAnyTime;
  switch (step.kind) {
    case 0:
      return DropMessage(step.actor);
    case 1:
    case 2:
      return Read(holder);
    case 3:
    case 4:
      return Write(holder, step.amount - 200);
    case 5:
      return SendWrite(holder);
    case 6:
    case 7:
    case 8:
      return Reserve(holder, PickRouter(step.target), 1 + step.amount / 4);
    case 9:
    case 10:
      return UseTokens(step.actor, step.amount / 4);
    case 11:
      return FinishAttempt(step.actor);
    case 12:
      return ShrinkAttempt(step.actor, step.amount / 4);
    case 13:
      return recovery_allowed ? CloseHolder(holder, PickHolder(step.target))
                              : void();
    case 14:
      return recovery_allowed ? RequestReports(holder, PickHolder(step.target))
                              : void();
    case 15:
      return recovery_allowed ? RecoverHolder(holder, PickHolder(step.target))
                              : void();
    case 16:
      return ChangeGranted(step.amount - 150);
    case kMoveAttempt:
      return MoveAttempt(step.actor, PickRouter(step.target));
    case kLoseRouter:
      if (step.amount >= 100)
        return;
      PickRouter(step.target).alive = false;
      return AddRouter();
    case 19:
      if (step.amount >= 200)
        return;
      holder.alive = false;
      return AddHolder();
    default:
      for (int i = 0; i <= step.amount / 60; ++i)
        DeliverMessage(step.actor);
  }
}

// The operator's command reads and writes the row in one transaction.
void World::ChangeGranted(Tokens change) {
  const auto changed = budget::ApplyGranted(row_, row_.granted + change);
  if (!IsOk(changed))
    return;
  row_ = ValueOf(changed);
  ++version_;
}

void World::DeliverMessage(int index) {
  if (network_.empty())
    return;
  const auto position =
      network_.begin() + index % static_cast<int>(network_.size());
  const Message message = std::move(*position);
  network_.erase(position);
  message();
}

void World::DropMessage(int index) {
  if (network_.empty())
    return;
  network_.erase(network_.begin() + index % static_cast<int>(network_.size()));
}

// The snapshot is taken when the read reaches the table and may be stale when
// the response arrives.
void World::Read(Holder& holder) {
  if (!holder.alive)
    return;
  Send([this, &holder] {
    Send([this, &holder, row = row_, version = version_] {
      if (holder.alive)
        OnRead(holder, row, version);
    });
  });
}

void World::OnRead(Holder& holder,
                   const budget::Row& row,
                   std::uint64_t version) {
  if (holder.lease.OnRow(row, version) !=
      budget::HolderLease::RowStatus::kCurrent)
    return;
  if (holder.write_open && !holder.lease.HasWriteInFlight()) {
    const auto own = row.leases.find(holder.id);
    const auto written_lease = holder.written_row.leases.find(holder.id);
    holder.write_open = false;
    if (own != row.leases.end() &&
        own->second.sequence == written_lease->second.sequence)
      AdoptReservations(holder);
    holder.recoveries.clear();
  }
  holder.last_row = row;
  holder.last_row_version = version;
}

void World::Write(Holder& holder, Tokens draw) {
  if (!holder.alive || holder.write_open || !holder.last_row ||
      holder.lease.IsClosed())
    return;
  budget::LeaseChange change;
  change.draw = draw;
  budget::Row row = *holder.last_row;
  for (const budget::RecoveryResult& recovered : holder.recoveries) {
    const budget::LeaseChange takeover = budget::TakeoverChange(recovered);
    change.adopted = takeover.adopted;
    change.took = takeover.took;
    row = recovered.row;
  }
  for (const auto& router : routers_)
    change.slices[router->id] =
        std::max<Tokens>(0, holder.lease.Available() + draw);
  holder.written_row =
      holder.lease.Prepare(std::move(row), holder.last_row_version, change);
  holder.write_base_version = holder.last_row_version;
  holder.write_open = true;
  holder.write_copies = 0;
  SendWrite(holder);
}

// Also repeats a write of unknown outcome.
void World::SendWrite(Holder& holder) {
  if (!holder.alive || !holder.write_open)
    return;
  ++holder.write_copies;
  Send([this, &holder, row = holder.written_row,
        base = holder.write_base_version] {
    const bool committed = version_ == base && !holder.row_closed;
    if (committed) {
      row_ = row;
      ++version_;
    }
    Send([this, &holder, base, committed] {
      if (holder.alive && holder.write_open &&
          holder.write_base_version == base)
        OnWriteResponse(holder, committed);
    });
  });
}

void World::OnWriteResponse(Holder& holder, bool committed) {
  holder.last_row.reset();
  if (!committed)
    return;
  holder.lease.OnCommitted();
  holder.write_open = false;
  holder.last_row = holder.written_row;
  holder.last_row_version = holder.write_base_version + 1;
  AdoptReservations(holder);
}

void World::Reserve(Holder& holder, Router& router, Tokens tokens) {
  if (!holder.alive || !holder.lease.Reserve(router.id, tokens))
    return;
  const AttemptId id("a" + std::to_string(next_attempt_++));
  holder.reservations[id] = {router.id, tokens, {}};
  attempts_[id] = {holder.id, tokens, 0, false, false};
  Send([this, &router, id] { OnGrant(router, id); });
}

void World::OnGrant(Router& router, const AttemptId& id) {
  Attempt& attempt = attempts_[id];
  if (!router.alive)
    return;
  if (router.closed.count(attempt.holder) != 0)
    return SendSettle(id, 0);
  router.running[id] = {attempt.holder, attempt.token_limit, 0};
  attempt.started = true;
}

void World::UseTokens(int index, Tokens tokens) {
  if (attempts_.empty())
    return;
  Attempt& attempt =
      std::next(attempts_.begin(), index % static_cast<int>(attempts_.size()))
          ->second;
  if (!attempt.started || attempt.done)
    return;
  const Tokens more = std::min(tokens, attempt.token_limit - attempt.used);
  attempt.used += more;
  spent_ += more;
}

void World::FinishAttempt(int index) {
  if (attempts_.empty())
    return;
  const auto found =
      std::next(attempts_.begin(), index % static_cast<int>(attempts_.size()));
  Attempt& attempt = found->second;
  if (!attempt.started || attempt.done)
    return;
  attempt.done = true;
  for (const auto& router : routers_) {
    const auto held = router->running.find(found->first);
    if (!router->alive || held == router->running.end())
      continue;
    router->settled[held->second.holder] += attempt.used;
    router->running.erase(held);
    SendSettle(found->first, attempt.used);
  }
}

// The engine has reported the prompt length, so fewer tokens are needed.
void World::ShrinkAttempt(int index, Tokens tokens) {
  if (attempts_.empty())
    return;
  const auto found =
      std::next(attempts_.begin(), index % static_cast<int>(attempts_.size()));
  Attempt& attempt = found->second;
  if (!attempt.started || attempt.done || tokens < attempt.used ||
      tokens > attempt.token_limit)
    return;
  attempt.token_limit = tokens;
  for (const auto& router : routers_) {
    const auto held = router->running.find(found->first);
    if (!router->alive || held == router->running.end())
      continue;
    held->second.tokens = tokens;
    Send([this, id = found->first, tokens, from = router->id] {
      for (const auto& holder : holders_) {
        const auto own = holder->reservations.find(id);
        if (!holder->alive || own == holder->reservations.end() ||
            own->second.router != from || own->second.tokens < tokens ||
            own->second.joining_router)
          continue;
        holder->lease.Release(from, own->second.tokens - tokens);
        own->second.tokens = tokens;
      }
    });
  }
}

// A caller's retry through another router joins the running attempt.
void World::MoveAttempt(int index, Router& to) {
  if (attempts_.empty())
    return;
  const auto found =
      std::next(attempts_.begin(), index % static_cast<int>(attempts_.size()));
  const AttemptId id = found->first;
  if (!found->second.started || found->second.done)
    return;
  for (const auto& owner : holders_) {
    Holder& holder = *owner;
    const auto own = holder.reservations.find(id);
    if (!holder.alive || holder.lease.IsClosed() ||
        own == holder.reservations.end() || own->second.joining_router ||
        own->second.router == to.id ||
        !holder.lease.Reserve(to.id, own->second.tokens))
      continue;
    own->second.joining_router = to.id;
    const Tokens tokens = own->second.tokens;
    const int join = next_join_++;
    Send([this, &holder, &to, id, tokens, join] {
      if (!to.alive || to.closed.count(holder.id) != 0 || attempts_[id].done)
        return;
      to.running[id] = {holder.id, tokens, join};
      Send([this, &holder, &to, id] { OnAttemptJoined(holder, to, id); });
    });
  }
}

// The new router holds the attempt, so the old one can drop it.
void World::OnAttemptJoined(Holder& holder,
                            const Router& to,
                            const AttemptId& id) {
  const auto joined = holder.reservations.find(id);
  if (!holder.alive || joined == holder.reservations.end() ||
      joined->second.joining_router != to.id)
    return;
  const RouterId old = joined->second.router;
  holder.lease.Release(old, joined->second.tokens);
  joined->second.router = to.id;
  joined->second.joining_router.reset();
  for (const auto& router : routers_) {
    const auto held = router->running.find(id);
    if (router->id != old || held == router->running.end())
      continue;
    // Messages between two processes keep their order, so a request to drop the
    // attempt must not affect a later join.
    Send([id, join = held->second.join, &from = *router] {
      const auto dropped = from.running.find(id);
      if (dropped != from.running.end() && dropped->second.join == join)
        from.running.erase(dropped);
    });
  }
}

void World::SendSettle(const AttemptId& id, Tokens used) {
  Send([this, id, used] { OnSettle(id, used); });
}

void World::OnSettle(const AttemptId& id, Tokens used) {
  settled_tokens_.emplace(id, used);
  for (const auto& holder : holders_) {
    const auto own = holder->reservations.find(id);
    if (!holder->alive || own == holder->reservations.end())
      continue;
    if (own->second.joining_router)
      holder->lease.Release(*own->second.joining_router, own->second.tokens);
    holder->lease.Settle(own->second.router, own->second.tokens,
                         std::min(used, own->second.tokens));
    holder->reservations.erase(own);
  }
}
