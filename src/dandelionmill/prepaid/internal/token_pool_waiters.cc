#include <algorithm>
#include <utility>

#include "dandelionmill/log/event.h"
#include "dandelionmill/prepaid/token_pool.h"

// Reservations that wait for a stored row or for another instance, and loan
// requests from other instances.
namespace dandelionmill::prepaid {
namespace {

// Interval between checks of waiting reservations, in addition to the check
// after each answer.
constexpr std::chrono::milliseconds kWaiterCheckInterval{100};

// Timeout of a loan request from another instance: what is left of the validity
// of the stored row when its tokens are used up, plus time for the additional
// rate after expiry to cover the shortfall.
constexpr std::chrono::milliseconds kLendTimeout{1150};

// Rows stored for a waiting reservation without waiting for the next tick.
constexpr int kMaxImmediateRowsPerWaiter = 2;

}  // namespace

bool TokenPool::ShouldDrawFor(const Waiter& waiter) const {
  if (waiter.is_lending)
    return waiter.may_draw;
  // A draw would conflict with the transaction of the lender, which serves all
  // instances.
  return (waiter.has_tried_borrowing && !waiter.is_peer_drawing) ||
         IsOwner(waiter.account);
}

std::uint64_t TokenPool::AddWaiter(const base::AccountId& account,
                                   base::Tokens tokens,
                                   std::chrono::milliseconds timeout,
                                   Handler handler) {
  Waiter waiter;
  waiter.id = next_waiter_id_++;
  waiter.account = account;
  waiter.tokens = tokens;
  waiter.deadline = std::chrono::steady_clock::now() + timeout;
  waiter.handler = std::move(handler);
  waiters_.push_back(std::move(waiter));
  if (waiters_.size() == 1)
    ScheduleWaiterCheck();
  return waiters_.back().id;
}

std::uint64_t TokenPool::ReserveLater(const base::AttemptId& request,
                                      const base::AccountId& account,
                                      base::Tokens tokens,
                                      std::chrono::milliseconds timeout,
                                      Handler handler) {
  const std::uint64_t id =
      AddWaiter(account, tokens, timeout, std::move(handler));
  waiters_.back().request = request;
  if (IsOwner(account))
    DrawOrReadTotal(account, tokens);
  else
    StartBorrowing(waiters_.back());
  return id;
}

void TokenPool::DrawOrReadTotal(const base::AccountId& account,
                                base::Tokens tokens) {
  if (Undrawn(account) + ledger_.Remaining(account) < tokens &&
      totals_[account].is_known && !IsTotalFresh(account))
    ReadTotal(account);
  else
    Tick();
}

void TokenPool::Lend(const base::AccountId& account,
                     base::Tokens tokens,
                     bool may_draw,
                     std::function<void(Loan)> handler) {
  if (!HasLimit(account) || is_returning_ ||
      (!may_draw && ledger_.Held(account) < tokens)) {
    handler({});
    return;
  }
  if (ledger_.TryReserve(account, tokens, base::BootClock::now())) {
    ledger_.GiveReserved(account, tokens);
    handler({tokens, false});
    return;
  }
  AddWaiter(
      account, tokens, kLendTimeout,
      [this, account, tokens, may_draw,
       handler = std::move(handler)](ReserveOutcome outcome) {
        const bool reserved = outcome == ReserveOutcome::kReserved;
        if (reserved)
          ledger_.GiveReserved(account, tokens);
        handler({reserved ? tokens : 0, outcome == ReserveOutcome::kExhausted,
                 outcome == ReserveOutcome::kUnavailable && may_draw &&
                     !is_returning_ && !last_commit_failed_});
      });
  waiters_.back().is_lending = true;
  waiters_.back().may_draw = may_draw;
  DrawOrReadTotal(account, tokens);
}

int TokenPool::WaitingCount(const base::AccountId& account) const {
  return static_cast<int>(std::count_if(
      waiters_.begin(), waiters_.end(),
      [&](const auto& waiter) { return waiter.account == account; }));
}

void TokenPool::Cancel(std::uint64_t waiter_id) {
  waiters_.remove_if(
      [waiter_id](const Waiter& other) { return other.id == waiter_id; });
}

std::optional<ReserveOutcome> TokenPool::TryResolve(Waiter& waiter,
                                                    base::MonoTime now) {
  if (ledger_.TryReserve(waiter.account, waiter.tokens, base::BootClock::now()))
    return ReserveOutcome::kReserved;
  if (now >= waiter.deadline)
    return ReserveOutcome::kUnavailable;
  if (waiter.is_borrowing || ledger_.Held(waiter.account) >= waiter.tokens)
    return std::nullopt;
  // While the store is unreachable, this instance cannot learn of returned or
  // added tokens, so the last known total decides, however old it is.
  const bool is_known = last_commit_failed_ ? totals_[waiter.account].is_known
                                            : IsTotalFresh(waiter.account);
  const bool is_exhausted =
      (is_known && Undrawn(waiter.account) + ledger_.Remaining(waiter.account) <
                       waiter.tokens) ||
      (last_commit_failed_ && waiter.peer_reported_exhausted);
  if (!is_exhausted && !last_commit_failed_)
    return std::nullopt;
  if (!waiter.is_lending && !waiter.has_tried_borrowing && peers_.borrow) {
    StartBorrowing(waiter);
    return std::nullopt;
  }
  return is_exhausted && !IsWrittenOff(waiter.account, waiter.tokens)
             ? ReserveOutcome::kExhausted
             : ReserveOutcome::kUnavailable;
}

void TokenPool::StartBorrowing(Waiter& waiter) {
  waiter.is_borrowing = true;
  const base::Tokens shortfall =
      waiter.tokens -
      std::max<base::Tokens>(0, ledger_.UnusedBorrowed(waiter.account));
  peers_.borrow(
      waiter.account, shortfall,
      [this, account = waiter.account, id = waiter.id, shortfall](
          const Loan& loan) { OnBorrowed(account, id, shortfall, loan); });
}

void TokenPool::OnBorrowed(const base::AccountId& account,
                           std::uint64_t id,
                           base::Tokens requested,
                           const Loan& loan) {
  ledger_.Borrow(account, loan.given);
  if (loan.given == 0) {
    log::Event(log::Level::kInfo, "prepaid_not_borrowed")
        .With("account", account)
        .With("asked", requested);
  }
  for (Waiter& other : waiters_) {
    if (other.id != id)
      continue;
    other.is_borrowing = false;
    other.has_tried_borrowing = true;
    other.peer_reported_exhausted = loan.is_exhausted;
    other.is_peer_drawing = loan.is_drawing;
  }
  ResolveWaiters();
  if (loan.given == 0) {
    if (!loan.is_drawing)
      DrawOrReadTotal(account, requested);
    return;
  }
  // The tokens may have served a reservation that has waited longer.
  const auto unserved =
      std::find_if(waiters_.begin(), waiters_.end(),
                   [id](const Waiter& other) { return other.id == id; });
  if (unserved != waiters_.end() && !unserved->is_borrowing)
    StartBorrowing(*unserved);
}

void TokenPool::ResolveWaiters() {
  const base::MonoTime now = std::chrono::steady_clock::now();
  std::vector<std::pair<Handler, ReserveOutcome>> resolved;
  for (auto at = waiters_.begin(); at != waiters_.end();) {
    const std::optional<ReserveOutcome> outcome = TryResolve(*at, now);
    if (!outcome) {
      tick_pending_ |=
          at->rows_stored < kMaxImmediateRowsPerWaiter && !at->is_borrowing;
      ++at;
      continue;
    }
    if (*outcome != ReserveOutcome::kReserved)
      LogRefusal(*at, *outcome);
    resolved.emplace_back(std::move(at->handler), *outcome);
    at = waiters_.erase(at);
  }
  for (auto& [handler, outcome] : resolved)
    handler(outcome);
}

void TokenPool::LogRefusal(const Waiter& waiter, ReserveOutcome outcome) const {
  const auto total = totals_.find(waiter.account);
  const auto age =
      total == totals_.end() || !total->second.is_known
          ? std::chrono::milliseconds(-1)
          : std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - total->second.updated_at);
  log::Event(log::Level::kInfo, "prepaid_refused")
      .With("request", waiter.request)
      .With("account", waiter.account)
      .With("tokens", waiter.tokens)
      .With("outcome", ToString(outcome))
      .With("for_peer", waiter.is_lending)
      .With("owner", IsOwner(waiter.account))
      .With("held", ledger_.Held(waiter.account))
      .With("available",
            ledger_.Available(waiter.account, base::BootClock::now()))
      .With("undrawn", Undrawn(waiter.account))
      .With("undrawn_age_ms", age)
      .With("store_answers", !last_commit_failed_);
}

void TokenPool::ScheduleWaiterCheck() {
  waiter_timer_.expires_after(kWaiterCheckInterval);
  waiter_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    ResolveWaiters();
    if (!waiters_.empty())
      ScheduleWaiterCheck();
  });
}

}  // namespace dandelionmill::prepaid
