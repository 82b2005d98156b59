#include "dandelionmill/budget/holder_lease.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::budget {
namespace {

base::Tokens ValueOrZero(const std::map<base::RouterId, base::Tokens>& values,
                         const base::RouterId& router) {
  const auto found = values.find(router);
  return found == values.end() ? 0 : found->second;
}

// Removes the leases without outstanding tokens. Their holders add them again
// with the next draw.
void DropEmptyLeases(Row& row) {
  for (auto lease = row.leases.begin(); lease != row.leases.end();) {
    if (lease->second.outstanding() == 0)
      lease = row.leases.erase(lease);
    else
      ++lease;
  }
}

}  // namespace

HolderLease::HolderLease(base::HolderId holder) : holder_(std::move(holder)) {}

base::Tokens HolderLease::Available() const {
  if (closed_)
    return 0;
  base::Tokens drawn = committed_.drawn;
  if (pending_)
    drawn = std::min(drawn, pending_->lease.drawn);
  return drawn - settled_ - reserved_;
}

base::Tokens HolderLease::AvailableTo(const base::RouterId& router) const {
  return std::min(Available(), EffectiveCeiling(router) - UsedBy(router));
}

base::Tokens HolderLease::UsedBy(const base::RouterId& router) const {
  const auto found = usage_.find(router);
  return found == usage_.end() ? 0
                               : found->second.reserved + found->second.settled;
}

base::Tokens HolderLease::EffectiveCeiling(const base::RouterId& router) const {
  base::Tokens ceiling = ValueOrZero(committed_.ceilings, router);
  if (pending_)
    ceiling = std::min(ceiling, ValueOrZero(pending_->lease.ceilings, router));
  return ceiling;
}

bool HolderLease::Reserve(const base::RouterId& router, base::Tokens tokens) {
  if (tokens > AvailableTo(router))
    return false;
  usage_[router].reserved += tokens;
  reserved_ += tokens;
  return true;
}

void HolderLease::Release(const base::RouterId& router, base::Tokens tokens) {
  usage_[router].reserved -= tokens;
  reserved_ -= tokens;
}

void HolderLease::Settle(const base::RouterId& router,
                         base::Tokens reserved,
                         base::Tokens used) {
  Release(router, reserved);
  usage_[router].settled += used;
  settled_ += used;
}

void HolderLease::SetCeilings(Lease& lease, const LeaseChange& change) const {
  lease.ceilings.clear();
  lease.retired = 0;
  for (const auto& [router, slice] : change.slices)
    lease.ceilings[router] = UsedBy(router) + slice;
  for (const auto& [router, tokens] : change.adopted) {
    const auto [entry, inserted] =
        lease.ceilings.emplace(router, UsedBy(router) + tokens);
    if (!inserted)
      entry->second += tokens;
  }
  for (const auto& [router, usage] : usage_) {
    if (lease.ceilings.count(router) != 0)
      continue;
    if (usage.reserved > 0)
      lease.ceilings[router] = usage.reserved + usage.settled;
    else
      lease.retired += usage.settled;
  }
}

Row HolderLease::Prepare(Row row,
                         std::uint64_t version,
                         const LeaseChange& change) {
  PendingWrite pending;
  pending.base_version = version;
  pending.lease = committed_;
  pending.adopted = change.adopted;
  Lease& lease = pending.lease;
  ++lease.sequence;
  // A return is limited to the available tokens, a draw to the free tokens.
  const base::Tokens min_draw = -std::max<base::Tokens>(0, Available());
  const base::Tokens max_draw = std::max<base::Tokens>(0, Free(row));
  lease.drawn += std::min(std::max(change.draw, min_draw), max_draw);
  for (const auto& [router, tokens] : change.adopted)
    lease.drawn += tokens;
  for (const auto& [lost_holder, settled] : change.took)
    lease.took[lost_holder] = settled;
  row.settled += settled_ - lease.settled;
  lease.settled = settled_;
  SetCeilings(lease, change);
  DropEmptyLeases(row);
  row.leases[holder_] = lease;
  pending_ = std::move(pending);
  return row;
}

void HolderLease::Apply(const PendingWrite& pending) {
  committed_ = pending.lease;
  committed_version_ = pending.base_version + 1;
  for (const auto& [router, tokens] : pending.adopted) {
    usage_[router].reserved += tokens;
    reserved_ += tokens;
  }
}

void HolderLease::OnCommitted() {
  if (!pending_)
    return;
  Apply(*pending_);
  pending_.reset();
}

void HolderLease::OnRejected() {
  pending_.reset();
}

HolderLease::RowStatus HolderLease::OnRow(const Row& row,
                                          std::uint64_t version) {
  if (version < committed_version_)
    return RowStatus::kStale;
  const auto own_lease = row.leases.find(holder_);
  if (pending_ && version > pending_->base_version) {
    // Another holder may have removed an empty lease after it was committed.
    const bool took_effect =
        own_lease != row.leases.end()
            ? own_lease->second.sequence == pending_->lease.sequence
            : pending_->lease.outstanding() == 0;
    if (took_effect)
      Apply(*pending_);
    pending_.reset();
  }
  committed_version_ = version;
  if (own_lease != row.leases.end()) {
    committed_ = own_lease->second;
    return RowStatus::kCurrent;
  }
  if (committed_.outstanding() == 0)
    return RowStatus::kCurrent;
  closed_ = true;
  return RowStatus::kClosed;
}

}  // namespace dandelionmill::budget
