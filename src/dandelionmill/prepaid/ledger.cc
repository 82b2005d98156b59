#include "dandelionmill/prepaid/ledger.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace dandelionmill::prepaid {
namespace {

using std::chrono::duration;

// Over which past the demand on an account is measured: several requests of the
// largest kinds at one instance.
constexpr duration<double> kDemandMemory{5.0};

// Weight of one more request in their mean size.
constexpr double kRequestWeight = 0.1;

// Part of that past after which a first measurement is scaled up, at least.
constexpr double kMinMeasured = 0.3;

// Demand that the owner holds ahead while the account has plenty: longer than
// the store is out of reach on the days that the users describe (9 s).
constexpr duration<double> kMaxAhead{16.0};

// Share of what is left of an account that its owner holds at most: the rest is
// for instances that cannot reach the owner.
constexpr double kLargestShare = 0.95;

// Share of what nobody has drawn that the owner holds without any demand, so
// that a cut right after the start refuses nobody.
constexpr double kIdleShare = 0.3;

// Part of the target below which tokens are drawn, and above which they are
// returned: the gap between both keeps tokens from going back and forth.
constexpr double kDrawBelow = 0.8;
constexpr double kReturnAbove = 1.5;

// Tokens that are not worth a transaction.
constexpr double kMinReturn = 5000;

// What may be committed without another row: time of demand, for the interval
// between rows and the quiet time, and a multiple of the mean request, for
// accounts with few and large ones.
constexpr duration<double> kUnlistedDemand{1.2};
constexpr double kUnlistedRequests = 1.5;

// What may be used in each second after the quiet time: a multiple of the
// demand, and a part of what is held. Lower ones let a successor recover more.
constexpr double kRateOfDemand = 1.25;
constexpr double kRateOfHeld = 1.0 / 24;

double Seconds(base::BootTime::duration value) {
  return duration<double>(value).count();
}

}  // namespace

double Ledger::DemandPerSecond(const Share& share, base::BootTime now) {
  const double age = Seconds(now - share.recent_at);
  const double measured =
      1 - std::exp(-Seconds(now - share.first_at) / kDemandMemory.count());
  return share.recent * std::exp(-age / kDemandMemory.count()) /
         kDemandMemory.count() / std::max(kMinMeasured, measured);
}

bool Ledger::TryReserve(const base::AccountId& account,
                        base::Tokens tokens,
                        base::BootTime now) {
  Share& share = shares_[account];
  if (Available(account, now) < tokens)
    return false;
  share.reserved += tokens;
  if (share.first_at == base::BootTime())
    share.first_at = now;
  share.recent *=
      std::exp(-Seconds(now - share.recent_at) / kDemandMemory.count());
  share.recent += static_cast<double>(tokens);
  share.mean_request +=
      kRequestWeight * (static_cast<double>(tokens) - share.mean_request);
  share.recent_at = now;
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

base::Tokens Ledger::Recover(const HolderRow& left,
                             std::chrono::milliseconds store_time) {
  if (left.as_of.count() == 0 || store_time.count() == 0)
    return 0;
  base::Tokens sum = 0;
  for (const auto& [account, share] : left.shares) {
    const base::Tokens recovered =
        Recoverable(share, store_time - left.as_of - left.quiet);
    shares_[account].recovered = recovered;
    sum += recovered;
  }
  return sum;
}

base::Tokens Ledger::MoveFor(const Share& share,
                             const AccountView& view,
                             base::BootTime now) const {
  const double undrawn =
      static_cast<double>(std::max<base::Tokens>(0, view.prepaid - view.drawn));
  const double demand = DemandPerSecond(share, now);
  const double held =
      static_cast<double>(share.held_of_drawn() + share.recovered);
  const auto waited = static_cast<double>(view.waited_for);
  double target = waited;
  if (view.is_owner) {
    const double ahead =
        std::min(demand * kMaxAhead.count(), kLargestShare * (undrawn + held));
    target = std::max({waited, ahead, kIdleShare * undrawn});
  }
  if (held < kDrawBelow * target || held < waited) {
    if (!view.may_draw)
      return 0;
    return static_cast<base::Tokens>(std::min(target - held, undrawn));
  }
  if (held > kReturnAbove * target + kMinReturn)
    return -static_cast<base::Tokens>(held - target);
  return 0;
}

HolderRow Ledger::MakeRow(std::chrono::milliseconds store_time) {
  HolderRow row;
  row.process = process_;
  row.sequence = ++sequence_;
  row.as_of = store_time;
  row.quiet = kQuiet;
  return row;
}

Ledger::Proposal Ledger::Propose(const std::vector<AccountView>& accounts,
                                 std::chrono::milliseconds store_time,
                                 base::BootTime now,
                                 std::optional<int> only_move) {
  Proposal proposal;
  proposal.row = MakeRow(store_time);
  std::map<base::AccountId, base::Tokens> moves;
  std::map<base::AccountId, base::Tokens> listed;
  for (const AccountView& view : accounts) {
    const base::Tokens move = MoveFor(shares_[view.account], view, now);
    if (move != 0)
      moves[view.account] = move;
    listed[view.account] = view.listed;
  }
  if (only_move && moves.size() > 1) {
    const auto kept = std::next(
        moves.begin(), *only_move % static_cast<std::ptrdiff_t>(moves.size()));
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
    entry.committed =
        std::min(entry.drawn, share.committed() + listed[account] +
                                  static_cast<base::Tokens>(std::max(
                                      demand * kUnlistedDemand.count(),
                                      kUnlistedRequests * share.mean_request)));
    entry.rate_per_s = std::floor(std::max(
        kRateOfDemand * demand,
        kRateOfHeld * static_cast<double>(entry.drawn - entry.committed)));
    if (entry.drawn != 0)
      proposal.row.shares[account] = entry;
  }
  proposal.moves = std::move(moves);
  return proposal;
}

Ledger::Proposal Ledger::ProposeReturn(std::chrono::milliseconds store_time) {
  Proposal proposal;
  proposal.row = MakeRow(store_time);
  for (auto& [account, share] : shares_) {
    const base::Tokens rest = share.held_of_drawn() + share.recovered;
    if (rest > 0) {
      proposal.moves[account] = -rest;
      share.returning += rest;
    }
    HolderShare entry;
    entry.drawn =
        share.drawn + share.recovered - std::max<base::Tokens>(0, rest);
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
    share.promised = entry.committed;
    share.rate_per_s = entry.rate_per_s;
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
  const double beyond_quiet =
      std::max(0.0, Seconds(now - share.stored_at - kQuiet));
  const base::Tokens promised =
      share.promised - share.committed() +
      static_cast<base::Tokens>(std::floor(share.rate_per_s * beyond_quiet));
  return share.borrowed_left() +
         std::max<base::Tokens>(0, std::min(share.held_of_drawn(), promised));
}

base::Tokens Ledger::Held(const base::AccountId& account) const {
  const auto found = shares_.find(account);
  return found == shares_.end() ? 0 : found->second.held();
}

base::Tokens Ledger::Left(const base::AccountId& account) const {
  const auto found = shares_.find(account);
  if (found == shares_.end())
    return 0;
  const Share& share = found->second;
  return share.held() + share.returning + share.recovered;
}

base::Tokens Ledger::BorrowedLeft(const base::AccountId& account) const {
  const auto found = shares_.find(account);
  return found == shares_.end() ? 0 : found->second.borrowed_left();
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
