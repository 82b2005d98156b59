#ifndef SRC_DANDELIONMILL_PREPAID_KEEPER_H_
#define SRC_DANDELIONMILL_PREPAID_KEEPER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/prepaid/ledger.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::prepaid {

// Why a reservation that waited was not made.
enum class ReserveOutcome {
  kReserved,
  // The account's prepaid tokens do not cover it.
  kExhausted,
  // The store could not be asked in time.
  kUnavailable,
};

const char* ToString(ReserveOutcome outcome);

// Draws prepaid tokens from the store ahead of demand and stores what this
// process promises about their use. At most one transaction is under way; one
// whose answer was lost stays in doubt until a later answer settles it.
class Keeper {
 public:
  using Handler = std::function<void(ReserveOutcome)>;
  // What another instance gave: all that was asked for, or nothing.
  struct Loan {
    base::Tokens given = 0;
    // Nothing was given because the account has too little left.
    bool is_exhausted = false;
  };

  // The other instances of the fleet.
  struct Peers {
    // Whether this instance holds the account's tokens for the others.
    std::function<bool(const base::AccountId&)> is_owner;
    // Asks other instances for tokens; the handler gets what they gave, later.
    std::function<
        void(const base::AccountId&, base::Tokens, std::function<void(Loan)>)>
        borrow;
    // Gives tokens to another instance without being asked.
    std::function<void(const base::AccountId&, base::Tokens)> give;
  };

  // `loop` and `table` must outlive the keeper.
  Keeper(boost::asio::io_context& loop,
         storage::AsyncTable& table,
         std::string instance,
         std::string process);

  // Commands.
  // Sets the prepaid tokens of each account that has a limit.
  void SetAccounts(std::map<base::AccountId, base::Tokens> prepaid);
  // Without peers each instance owns all accounts.
  void SetPeers(Peers peers) { peers_ = std::move(peers); }
  // Stores what is due. Call twice in each Ledger::kQuiet.
  void Tick();
  // Reserves tokens at once if it can. Accounts without a limit have them all.
  bool TryReserve(const base::AccountId& account, base::Tokens tokens);
  // Reserves tokens for `request` as soon as they are drawn or borrowed, or
  // says within `timeout` that it could not. Returns a number for Cancel; the
  // handler never runs from within the call.
  std::uint64_t ReserveLater(const base::AttemptId& request,
                             const base::AccountId& account,
                             base::Tokens tokens,
                             std::chrono::milliseconds timeout,
                             Handler handler);
  void Cancel(std::uint64_t waiter);
  // Another instance gave tokens that nobody waits for any more.
  void OnGiven(const base::AccountId& account, base::Tokens tokens) {
    ledger_.Borrow(account, tokens);
  }
  // Gives `tokens` to another instance. They are drawn from the store first if
  // need be and `may_draw`.
  void Lend(const base::AccountId& account,
            base::Tokens tokens,
            bool may_draw,
            std::function<void(Loan)> handler);
  void Settle(const base::AccountId& account,
              base::Tokens reserved,
              base::Tokens used);
  // Returns what is unused with each tick from now on and draws nothing more.
  void BeginReturn() { is_returning_ = true; }
  // Returns all that is unused to the store, or gives it to another instance
  // while the store is out of reach, then calls `done` however that ended.
  // Nothing may be reserved afterwards.
  void ReturnAll(std::function<void()> done);

  // Queries.
  const Ledger& ledger() const { return ledger_; }
  bool is_in_doubt() const { return !in_doubt_.empty(); }
  bool HasLimit(const base::AccountId& account) const {
    return prepaid_.count(account) != 0;
  }
  // Tokens that nobody has drawn, as last seen; 0 when never seen.
  base::Tokens Undrawn(const base::AccountId& account) const;
  // Requests that wait for tokens, those of other instances included.
  int Waiting(const base::AccountId& account) const;

 private:
  struct StoredTotal {
    std::uint64_t version = 0;
    base::Tokens drawn = 0;
    bool is_known = false;
    // When the store last told it.
    base::MonoTime learned_at{};
    bool is_reading = false;
  };
  struct Waiter {
    std::uint64_t number;
    // Empty for another instance's.
    base::AttemptId request;
    base::AccountId account;
    base::Tokens tokens;
    base::MonoTime until;
    Handler handler;
    // Waits for another instance, so nothing is borrowed for it.
    bool is_lending = false;
    bool may_draw = true;
    // Rows stored since it waits.
    int rows_stored = 0;
    bool is_borrowing = false;
    bool has_borrowed = false;
    // The owner said that the account has too little left.
    bool owner_refused = false;
  };

  void Commit(Ledger::Proposal proposal);
  storage::RowChange MakeChange(const Ledger::Proposal& proposal) const;
  void OnAnswer(const Ledger::Proposal& proposal, storage::TableAnswer answer);
  void OnStored(const Ledger::Proposal& proposal);
  void OnConflict(const Ledger::Proposal& proposal,
                  const storage::TableAnswer& answer);
  // Sets `draws_again_at_` after a conflict.
  void PauseDrawing();
  void LearnHolderRow(const storage::VersionedRow& row);
  void LearnTotal(const storage::VersionedRow& row);
  static void Learn(StoredTotal& total,
                    std::uint64_t version,
                    base::Tokens drawn);
  void ReadTotal(const base::AccountId& account);
  bool IsTotalFresh(const base::AccountId& account) const;
  void Finish();
  void CommitReturn();
  void GiveAwayAll();
  std::uint64_t AddWaiter(const base::AccountId& account,
                          base::Tokens tokens,
                          std::chrono::milliseconds timeout,
                          Handler handler);
  void ServeWaiters();
  // Returns the outcome of a waiter once it is known.
  std::optional<ReserveOutcome> Decide(Waiter& waiter, base::MonoTime now);
  bool IsOwner(const base::AccountId& account) const;
  // Whether tokens are drawn from the store for the waiter.
  bool IsDrawing(const Waiter& waiter) const;
  void StartBorrowing(Waiter& waiter);
  void OnBorrowed(const base::AccountId& account,
                  std::uint64_t number,
                  base::Tokens asked,
                  const Loan& loan);
  // Draws tokens, or reads the stored total first if it may be out of date.
  void AskStore(const base::AccountId& account, base::Tokens tokens);
  void LogRefusal(const Waiter& waiter, ReserveOutcome outcome) const;
  void ScheduleWaiterCheck();
  std::vector<Ledger::AccountView> Views() const;
  std::chrono::milliseconds StoreTime() const;
  storage::RowKey HolderKey() const;
  static storage::RowKey TotalKey(const base::AccountId& account);

  boost::asio::io_context& loop_;
  storage::AsyncTable& table_;
  const std::string instance_;
  Ledger ledger_;
  std::map<base::AccountId, base::Tokens> prepaid_;
  std::map<base::AccountId, StoredTotal> totals_;

  bool is_committing_ = false;
  bool tick_again_ = false;
  bool last_call_failed_ = false;
  int conflicts_in_a_row_ = 0;
  // Until then nothing is drawn of accounts of which this is not the owner.
  base::MonoTime draws_again_at_{};
  std::mt19937_64 random_;
  std::uint64_t holder_version_ = 0;
  // Proposals of which it is not known whether they were stored.
  std::vector<Ledger::Proposal> in_doubt_;
  std::chrono::milliseconds store_time_{0};
  base::MonoTime store_time_at_{};

  std::list<Waiter> waiters_;
  std::uint64_t next_waiter_ = 1;
  boost::asio::steady_timer waiter_timer_;
  Peers peers_;
  std::function<void()> returned_;
  bool is_returning_ = false;
  int return_attempts_ = 0;
};

}  // namespace dandelionmill::prepaid

#endif  // SRC_DANDELIONMILL_PREPAID_KEEPER_H_
