#include "dandelionmill/prepaid/ledger.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace dandelionmill::prepaid {
namespace {

using std::chrono::duration;

// Time constant of the decaying average of an account's demand. It covers
// several of the largest requests at one instance.
constexpr duration<double> kDemandTimeConstant{5.0};

// Weight of a new request in the moving average of request sizes.
constexpr double kRequestSizeWeight = 0.1;

// Minimum of the observed fraction of the demand average, by which the first
// measurements are divided.
constexpr double kMinObservedFraction = 0.3;

// Time of demand that the owner holds ahead while the account has enough
// tokens: longer than the store outages that users reported (9 s).
constexpr duration<double> kMaxDemandAhead{16.0};

// Maximum share of an account's remaining tokens that its owner holds ahead of
// demand. The rest stays available to instances that cannot reach the owner.
constexpr double kMaxOwnerShare = 0.95;

// Share of the undrawn tokens that the owner holds without any demand, so that
// a network partition right after the start causes no refusals.
constexpr double kIdleOwnerShare = 0.3;

// Fractions of the target below which tokens are drawn and above which they are
// returned. The gap between them avoids repeated draws and returns.
constexpr double kDrawThreshold = 0.8;
constexpr double kReturnThreshold = 1.5;

// Excess in tokens up to which a return is not worth a transaction.
constexpr double kMinReturnTokens = 5000;

// Tokens that may be committed before the next row is stored: the demand of a
// time that covers some intervals between rows, or a multiple of the mean
// request for accounts with few, large requests. A successor cannot recover
// them; a burst beyond them waits for a row that is stored at once.
constexpr duration<double> kUnlistedDemandTime = 3 * Ledger::kRowInterval;
constexpr double kUnlistedRequests = 1.5;

// Tokens per second that may be committed after a row has expired: a multiple
// of the demand, or a fraction of the held tokens. Lower values let a successor
// recover more.
constexpr double kRateDemandFactor = 1.25;
constexpr double kRateHeldFraction = 1.0 / 24;

double Seconds(base::BootTime::duration value) {
  return duration<double>(value).count();
}

}  // namespace

double Ledger::DemandPerSecond(const Share& share, base::BootTime now) {
  const double age = Seconds(now - share.recent_tokens_at);
  const double observed = 1 - std::exp(-Seconds(now - share.first_reserved_at) /
                                       kDemandTimeConstant.count());
  return share.recent_tokens * std::exp(-age / kDemandTimeConstant.count()) /
         kDemandTimeConstant.count() / std::max(kMinObservedFraction, observed);
}

bool Ledger::TryReserve(const base::AccountId& account,
                        base::Tokens tokens,
                        base::BootTime now) {
  Share& share = shares_[account];
  if (Available(account, now) < tokens)
    return false;
  share.reserved += tokens;
  if (share.first_reserved_at == base::BootTime())
    share.first_reserved_at = now;
  share.recent_tokens *= std::exp(-Seconds(now - share.recent_tokens_at) /
                                  kDemandTimeConstant.count());
  share.recent_tokens += static_cast<double>(tokens);
  share.mean_request_tokens +=
      kRequestSizeWeight *
      (static_cast<double>(tokens) - share.mean_request_tokens);
  share.recent_tokens_at = now;
  return true;
}

void Ledger::Settle(const base::AccountId& account,
                    base::Tokens reserved,
                    base::Tokens used) {
  Share& share = shares_[account];
  share.reserved -= reserved;
  share.used += std::min(used, reserved);
}

void Ledger::Borrow(const base::AccountId& account, base::Tokens tokens) {
  shares_[account].borrowed += tokens;
}

base::Tokens Ledger::TakeUnusedBorrowed(const base::AccountId& account,
                                        std::chrono::milliseconds idle,
                                        base::BootTime now) {
  const auto found = shares_.find(account);
  if (found == shares_.end() || now - found->second.recent_tokens_at < idle)
    return 0;
  Share& share = found->second;
  const base::Tokens unused = share.unused_borrowed();
  share.borrowed -= unused;
  return unused;
}

base::Tokens Ledger::Recover(const HolderRow& predecessor_row,
                             std::chrono::milliseconds store_time) {
  if (predecessor_row.as_of.count() == 0 || store_time.count() == 0)
    return 0;
  base::Tokens sum = 0;
  for (const auto& [account, share] : predecessor_row.shares) {
    const base::Tokens recovered = Recoverable(
        share, store_time - predecessor_row.as_of - predecessor_row.validity);
    shares_[account].recovered = recovered;
    sum += recovered;
  }
  return sum;
}

base::Tokens Ledger::TokensToMove(const Share& share,
                                  const AccountView& view,
                                  base::BootTime now) const {
  const double undrawn =
      static_cast<double>(std::max<base::Tokens>(0, view.prepaid - view.drawn));
  const double demand = DemandPerSecond(share, now);
  const double held = static_cast<double>(share.held_drawn() + share.recovered);
  const auto pending = static_cast<double>(view.pending_to_draw);
  double target = pending;
  if (view.is_owner) {
    const double ahead = std::min(demand * kMaxDemandAhead.count(),
                                  kMaxOwnerShare * (undrawn + held));
    target = std::max({pending, ahead, kIdleOwnerShare * undrawn});
  }
  if (held < kDrawThreshold * target || held < pending) {
    if (!view.may_draw)
      return 0;
    return static_cast<base::Tokens>(std::min(target - held, undrawn));
  }
  if (held > kReturnThreshold * target + kMinReturnTokens)
    return -static_cast<base::Tokens>(held - target);
  return 0;
}

HolderRow Ledger::MakeHolderRow(std::chrono::milliseconds store_time) {
  HolderRow row;
  row.process = process_;
  row.sequence = ++sequence_;
  row.as_of = store_time;
  row.validity = kRowValidity;
  return row;
}

Ledger::Proposal Ledger::Propose(const std::vector<AccountView>& accounts,
                                 std::chrono::milliseconds store_time,
                                 base::BootTime now,
                                 std::optional<int> single_move_index) {
  Proposal proposal;
  proposal.row = MakeHolderRow(store_time);
  std::map<base::AccountId, base::Tokens> moves;
  std::map<base::AccountId, base::Tokens> pending_tokens;
  for (const AccountView& view : accounts) {
    const base::Tokens move =
        view.may_change_total ? TokensToMove(shares_[view.account], view, now)
                              : 0;
    if (move != 0)
      moves[view.account] = move;
    pending_tokens[view.account] = view.pending_tokens;
  }
  if (single_move_index && moves.size() > 1) {
    const auto kept =
        std::next(moves.begin(), *single_move_index %
                                     static_cast<std::ptrdiff_t>(moves.size()));
    moves = {*kept};
  }
  for (auto& [account, share] : shares_) {
    const auto found = moves.find(account);
    const base::Tokens move = found == moves.end() ? 0 : found->second;
    if (move < 0)
      share.returning -= move;
    HolderShare entry;
    entry.drawn = share.drawn + share.recovered + move;
    const double demand = DemandPerSecond(share, now);
    entry.committed = std::min(
        entry.drawn, share.committed() + pending_tokens[account] +
                         static_cast<base::Tokens>(std::max(
                             demand * kUnlistedDemandTime.count(),
                             kUnlistedRequests * share.mean_request_tokens)));
    entry.rate_per_s = std::floor(
        std::max(kRateDemandFactor * demand,
                 kRateHeldFraction *
                     static_cast<double>(entry.drawn - entry.committed)));
    if (entry.drawn != 0)
      proposal.row.shares[account] = entry;
  }
  proposal.moves = std::move(moves);
  return proposal;
}

Ledger::Proposal Ledger::ProposeReturn(std::chrono::milliseconds store_time,
                                       const std::set<base::AccountId>& kept) {
  Proposal proposal;
  proposal.row = MakeHolderRow(store_time);
  for (auto& [account, share] : shares_) {
    const base::Tokens unused =
        kept.count(account) != 0 ? 0 : share.held_drawn() + share.recovered;
    if (unused > 0) {
      proposal.moves[account] = -unused;
      share.returning += unused;
    }
    HolderShare entry;
    entry.drawn =
        share.drawn + share.recovered - std::max<base::Tokens>(0, unused);
    entry.committed = share.committed();
    if (entry.drawn != 0)
      proposal.row.shares[account] = entry;
  }
  return proposal;
}

void Ledger::OnStored(const Proposal& proposal, base::BootTime now) {
  for (auto& [account, share] : shares_) {
    const auto move = proposal.moves.find(account);
    if (move != proposal.moves.end() && move->second < 0)
      share.returning += move->second;
    const auto stored = proposal.row.shares.find(account);
    const HolderShare entry =
        stored == proposal.row.shares.end() ? HolderShare() : stored->second;
    share.drawn = entry.drawn;
    share.recovered = 0;
    share.stored = entry;
    share.stored_at = now;
  }
}

void Ledger::OnDropped(const Proposal& proposal) {
  for (const auto& [account, move] : proposal.moves) {
    if (move < 0)
      shares_[account].returning += move;
  }
}

base::Tokens Ledger::Available(const base::AccountId& account,
                               base::BootTime now) const {
  const auto found = shares_.find(account);
  if (found == shares_.end())
    return 0;
  const Share& share = found->second;
  const base::Tokens allowed =
      share.stored.committed - share.committed() +
      static_cast<base::Tokens>(std::floor(
          UseAfterExpiry(share.stored, now - share.stored_at - kRowValidity)));
  return share.unused_borrowed() +
         std::max<base::Tokens>(0, std::min(share.held_drawn(), allowed));
}

base::Tokens Ledger::Held(const base::AccountId& account) const {
  const auto found = shares_.find(account);
  return found == shares_.end() ? 0 : found->second.held();
}

base::Tokens Ledger::Remaining(const base::AccountId& account) const {
  const auto found = shares_.find(account);
  if (found == shares_.end())
    return 0;
  const Share& share = found->second;
  return share.held() + share.returning + share.recovered;
}

base::Tokens Ledger::UnusedBorrowed(const base::AccountId& account) const {
  const auto found = shares_.find(account);
  return found == shares_.end() ? 0 : found->second.unused_borrowed();
}

base::Tokens Ledger::Used(const base::AccountId& account) const {
  const auto found = shares_.find(account);
  return found == shares_.end() ? 0 : found->second.used;
}

std::vector<base::AccountId> Ledger::Accounts() const {
  std::vector<base::AccountId> accounts;
  for (const auto& [account, share] : shares_)
    accounts.push_back(account);
  return accounts;
}

}  // namespace dandelionmill::prepaid
