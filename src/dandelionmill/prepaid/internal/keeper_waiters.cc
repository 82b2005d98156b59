#include <algorithm>
#include <utility>

#include "dandelionmill/log/event.h"
#include "dandelionmill/prepaid/keeper.h"

// Reservations that wait: for a row, for another instance, or for its asking.
namespace dandelionmill::prepaid {
namespace {

// How often waiting reservations are looked at beside each answer.
constexpr std::chrono::milliseconds kWaiterCheck{100};

// How long another instance that asks for tokens is kept waiting: the quiet
// time of the stored row, and some for what the promise still lacks then.
constexpr std::chrono::milliseconds kLendTimeout{1150};

// Rows that are stored at once for a reservation that waits.
constexpr int kRowsPerWaiter = 2;

}  // namespace

bool Keeper::IsDrawing(const Waiter& waiter) const {
  if (waiter.is_lending)
    return waiter.may_draw;
  return waiter.has_borrowed || IsOwner(waiter.account);
}

std::uint64_t Keeper::AddWaiter(const base::AccountId& account,
                                base::Tokens tokens,
                                std::chrono::milliseconds timeout,
                                Handler handler) {
  Waiter waiter;
  waiter.number = next_waiter_++;
  waiter.account = account;
  waiter.tokens = tokens;
  waiter.until = std::chrono::steady_clock::now() + timeout;
  waiter.handler = std::move(handler);
  waiters_.push_back(std::move(waiter));
  if (waiters_.size() == 1)
    ScheduleWaiterCheck();
  return waiters_.back().number;
}

std::uint64_t Keeper::ReserveLater(const base::AttemptId& request,
                                   const base::AccountId& account,
                                   base::Tokens tokens,
                                   std::chrono::milliseconds timeout,
                                   Handler handler) {
  const std::uint64_t number =
      AddWaiter(account, tokens, timeout, std::move(handler));
  waiters_.back().request = request;
  if (IsOwner(account))
    AskStore(account, tokens);
  else
    StartBorrowing(waiters_.back());
  return number;
}

void Keeper::AskStore(const base::AccountId& account, base::Tokens tokens) {
  if (Undrawn(account) + ledger_.Left(account) < tokens &&
      totals_[account].is_known && !IsTotalFresh(account))
    ReadTotal(account);
  else
    Tick();
}

void Keeper::Lend(const base::AccountId& account,
                  base::Tokens tokens,
                  bool may_draw,
                  std::function<void(Loan)> handler) {
  if (!HasLimit(account) || is_returning_ ||
      (!may_draw && ledger_.Held(account) < tokens)) {
    handler({});
    return;
  }
  if (ledger_.TryReserve(account, tokens, base::BootClock::now())) {
    ledger_.GiveAway(account, tokens);
    handler({tokens, false});
    return;
  }
  AddWaiter(
      account, tokens, kLendTimeout,
      [this, account, tokens,
       handler = std::move(handler)](ReserveOutcome outcome) {
        const bool reserved = outcome == ReserveOutcome::kReserved;
        if (reserved)
          ledger_.GiveAway(account, tokens);
        handler({reserved ? tokens : 0, outcome == ReserveOutcome::kExhausted});
      });
  waiters_.back().is_lending = true;
  waiters_.back().may_draw = may_draw;
  AskStore(account, tokens);
}

int Keeper::Waiting(const base::AccountId& account) const {
  return static_cast<int>(std::count_if(
      waiters_.begin(), waiters_.end(),
      [&](const auto& waiter) { return waiter.account == account; }));
}

void Keeper::Cancel(std::uint64_t waiter) {
  waiters_.remove_if(
      [waiter](const Waiter& other) { return other.number == waiter; });
}

std::optional<ReserveOutcome> Keeper::Decide(Waiter& waiter,
                                             base::MonoTime now) {
  if (ledger_.TryReserve(waiter.account, waiter.tokens, base::BootClock::now()))
    return ReserveOutcome::kReserved;
  if (now >= waiter.until)
    return ReserveOutcome::kUnavailable;
  if (waiter.is_borrowing || ledger_.Held(waiter.account) >= waiter.tokens)
    return std::nullopt;
  // While the store is away nothing can be returned to it or added that this
  // instance would hear of, so that what it said last holds.
  const bool is_known = last_call_failed_ ? totals_[waiter.account].is_known
                                          : IsTotalFresh(waiter.account);
  const bool is_exhausted =
      (is_known && Undrawn(waiter.account) + ledger_.Left(waiter.account) <
                       waiter.tokens) ||
      (last_call_failed_ && waiter.owner_refused);
  if (!is_exhausted && !last_call_failed_)
    return std::nullopt;
  if (!waiter.is_lending && !waiter.has_borrowed && peers_.borrow) {
    StartBorrowing(waiter);
    return std::nullopt;
  }
  return is_exhausted ? ReserveOutcome::kExhausted
                      : ReserveOutcome::kUnavailable;
}

void Keeper::StartBorrowing(Waiter& waiter) {
  waiter.is_borrowing = true;
  const base::Tokens missing =
      waiter.tokens -
      std::max<base::Tokens>(0, ledger_.BorrowedLeft(waiter.account));
  peers_.borrow(
      waiter.account, missing,
      [this, account = waiter.account, number = waiter.number, missing](
          const Loan& loan) { OnBorrowed(account, number, missing, loan); });
}

void Keeper::OnBorrowed(const base::AccountId& account,
                        std::uint64_t number,
                        base::Tokens asked,
                        const Loan& loan) {
  ledger_.Borrow(account, loan.given);
  if (loan.given == 0) {
    log::Event(log::Level::kInfo, "prepaid_not_borrowed")
        .With("account", account)
        .With("asked", asked);
  }
  for (Waiter& other : waiters_) {
    if (other.number != number)
      continue;
    other.is_borrowing = false;
    other.has_borrowed = true;
    other.owner_refused = loan.is_exhausted;
  }
  ServeWaiters();
  if (loan.given == 0)
    AskStore(account, asked);
}

void Keeper::ServeWaiters() {
  const base::MonoTime now = std::chrono::steady_clock::now();
  std::vector<std::pair<Handler, ReserveOutcome>> ready;
  for (auto at = waiters_.begin(); at != waiters_.end();) {
    const std::optional<ReserveOutcome> outcome = Decide(*at, now);
    if (!outcome) {
      tick_again_ |= at->rows_stored < kRowsPerWaiter && !at->is_borrowing;
      ++at;
      continue;
    }
    if (*outcome != ReserveOutcome::kReserved)
      LogRefusal(*at, *outcome);
    ready.emplace_back(std::move(at->handler), *outcome);
    at = waiters_.erase(at);
  }
  for (auto& [handler, outcome] : ready)
    handler(outcome);
}

void Keeper::LogRefusal(const Waiter& waiter, ReserveOutcome outcome) const {
  const auto total = totals_.find(waiter.account);
  const auto age =
      total == totals_.end() || !total->second.is_known
          ? std::chrono::milliseconds(-1)
          : std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - total->second.learned_at);
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
      .With("store_answers", !last_call_failed_);
}

void Keeper::ScheduleWaiterCheck() {
  waiter_timer_.expires_after(kWaiterCheck);
  waiter_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    ServeWaiters();
    if (!waiters_.empty())
      ScheduleWaiterCheck();
  });
}

}  // namespace dandelionmill::prepaid
