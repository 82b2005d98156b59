#ifndef SRC_DANDELIONMILL_PREPAID_TOKEN_POOL_H_
#define SRC_DANDELIONMILL_PREPAID_TOKEN_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/prepaid/contributions.h"
#include "dandelionmill/prepaid/ledger.h"
#include "dandelionmill/prepaid/lost_predecessor.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::prepaid {

// Outcome of a reservation.
enum class ReserveOutcome {
  kReserved,
  // The account's remaining prepaid tokens do not cover the reservation.
  kExhausted,
  // No tokens could be obtained from the store or from another instance in
  // time, or they were written off since the store has lost who used them.
  kUnavailable,
};

const char* ToString(ReserveOutcome outcome);

// Draws prepaid tokens from the store ahead of demand and stores the limits
// within which this process uses them. At most one transaction is in flight;
// one whose answer was lost stays in doubt until a later answer settles it.
// After a restore of the store, the totals are completed by what this process
// knows, and none are drawn until all instances have done so.
class TokenPool {
 public:
  // How often a process without tokens writes its row, which shows whether the
  // store answers and was restored.
  static constexpr std::chrono::milliseconds kIdleRowInterval{2000};

  using Handler = std::function<void(ReserveOutcome)>;
  // Result of a loan request to another instance: all tokens or none.
  struct Loan {
    base::Tokens given = 0;
    // Nothing was given because the account's remaining tokens do not suffice.
    bool is_exhausted = false;
    // Nothing was given in time, but the lender is drawing tokens from the
    // store, which answers it.
    bool is_drawing = false;
  };

  // Access to the other instances of the fleet.
  struct Peers {
    // Whether this instance holds the account's tokens for the others.
    std::function<bool(const base::AccountId&)> is_owner;
    // Requests tokens from other instances. The handler receives the result
    // and never runs from within the call.
    std::function<
        void(const base::AccountId&, base::Tokens, std::function<void(Loan)>)>
        borrow;
    // Gives tokens to another instance without a request from it.
    std::function<void(const base::AccountId&, base::Tokens)> give;
  };

  // `loop` and `table` must outlive the pool. `process` is unique for each
  // start of the process.
  TokenPool(boost::asio::io_context& loop,
            storage::AsyncTable& table,
            std::string instance,
            std::string process);

  // Commands.
  // Sets the prepaid tokens of each account that has a limit.
  void SetAccounts(std::map<base::AccountId, base::Tokens> prepaid);
  // Sets the access to other instances. Without it, this instance owns all
  // accounts.
  void SetPeers(Peers peers) { peers_ = std::move(peers); }
  // Stores the next holder row and moves tokens. Call every
  // Ledger::kRowInterval. While the process has no tokens left to use, the row
  // is stored only every kIdleRowInterval.
  void Tick();
  // The store may have been restored: writes a row in any case, since the
  // answer shows it.
  void CheckStore();
  // Reserves tokens if they are available now. Always succeeds for accounts
  // without a limit.
  bool TryReserve(const base::AccountId& account, base::Tokens tokens);
  // Reserves tokens for `request` as soon as they are drawn or borrowed, or
  // reports a failure, after about `timeout` at the latest. Returns the id for
  // Cancel. The handler never runs from within the call.
  std::uint64_t ReserveLater(const base::AttemptId& request,
                             const base::AccountId& account,
                             base::Tokens tokens,
                             std::chrono::milliseconds timeout,
                             Handler handler);
  void Cancel(std::uint64_t waiter_id);
  // Adds tokens from another instance for which no reservation waits any more.
  void AddReceivedTokens(const base::AccountId& account, base::Tokens tokens) {
    ledger_.Borrow(account, tokens);
  }
  // Gives `tokens` to another instance. If too few are available, they are
  // drawn from the store first, provided that `may_draw` is set.
  void Lend(const base::AccountId& account,
            base::Tokens tokens,
            bool may_draw,
            std::function<void(Loan)> handler);
  // Ends a reservation; the tokens that were not used become available again.
  void Settle(const base::AccountId& account,
              base::Tokens reserved,
              base::Tokens used);
  // All instances have completed the totals of the store in this era.
  void SetFleetSettledEra(std::uint64_t era) { fleet_settled_era_ = era; }
  // From now on, each tick returns the unused tokens and draws none.
  void BeginReturn() { is_returning_ = true; }
  // Returns all unused tokens to the store, or gives them to another instance
  // while the store is unreachable. Calls `done` afterwards, also if that
  // failed. Nothing may be reserved after this call.
  void ReturnAll(std::function<void()> done);

  // Queries.
  const Ledger& ledger() const { return ledger_; }
  bool is_in_doubt() const { return !in_doubt_.empty(); }
  // Returns the era of the store in which all that this process knows of the
  // totals is stored; nothing while some of it is not, or before the first
  // answer.
  std::optional<std::uint64_t> settled_era() const;
  // Whether tokens of an account may not be drawn, since other instances may
  // not have completed its total after a restore.
  bool is_waiting_for_fleet() const;
  // Whether the store answered the last transaction. If not, an account that
  // counts as exhausted may have tokens again.
  bool is_store_reachable() const { return !last_commit_failed_; }
  bool HasLimit(const base::AccountId& account) const {
    return prepaid_.count(account) != 0;
  }
  // Tokens that no instance has drawn, as last read from the store; 0 if
  // unknown.
  base::Tokens Undrawn(const base::AccountId& account) const;
  // Number of requests that wait for tokens, including those of other
  // instances.
  int WaitingCount(const base::AccountId& account) const;

 private:
  struct StoredTotal {
    std::uint64_t version = 0;
    AccountRow row;
    bool is_known = false;
    // Time of the last answer of the store with this total.
    base::MonoTime updated_at{};
    bool is_reading = false;
    // When the row was last read and could not be decoded; not set if it could.
    std::optional<base::MonoTime> unreadable_at;
  };
  struct Waiter {
    std::uint64_t id;
    // Empty for a loan request of another instance.
    base::AttemptId request;
    base::AccountId account;
    base::Tokens tokens;
    base::MonoTime deadline;
    Handler handler;
    // The tokens are for another instance, so they are not borrowed.
    bool is_lending = false;
    bool may_draw = true;
    // Holder rows stored since the waiter was added.
    int rows_stored = 0;
    bool is_borrowing = false;
    // A loan request was answered, with or without tokens.
    bool has_tried_borrowing = false;
    // Another instance reported that the account is exhausted.
    bool peer_reported_exhausted = false;
    // Another instance reported that it is drawing tokens.
    bool is_peer_drawing = false;
  };

  // The totals that a transaction writes.
  using Totals = std::map<base::AccountId, AccountRow>;

  // Whether the stored rows say all that `proposal` does, and nothing waits for
  // the store.
  bool IsIdle(const Ledger::Proposal& proposal) const;
  // Reads the row of this instance, before the first proposal.
  void ReadHolderRow();
  void CommitProposal(Ledger::Proposal proposal);
  // Returns the totals after `proposal`, and those that are completed with it.
  Totals TotalsAfter(const Ledger::Proposal& proposal) const;
  storage::RowChange MakeChange(const Ledger::Proposal& proposal,
                                const Totals& totals) const;
  void OnCommitAnswer(const Ledger::Proposal& proposal,
                      const Totals& totals,
                      storage::TableResponse answer);
  // Notes whether the store answered a call, and its time.
  void OnAnswer(const storage::TableResponse& answer);
  // Compares the era of an answer with the known one. Returns false if the
  // answer is from an earlier era.
  bool CheckEra(const storage::TableResponse& answer);
  void OnStoreRestored(std::uint64_t era);
  // Returns the total as stored with all that this process knows.
  AccountRow CompleteTotal(const base::AccountId& account) const;
  // Whether the stored total lacks what this process knows.
  bool IsTotalIncomplete(const base::AccountId& account) const;
  // Whether tokens of the account may be drawn in this era.
  bool IsOpen(const base::AccountId& account) const;
  // Reads the totals that are needed to complete them.
  void ReadMissingTotals();
  void RecoverFromPredecessor(const HolderRow& stored);
  // A row that allows nothing and lists all accounts, for one that cannot be
  // decoded.
  HolderRow UnknownPredecessorRow() const;
  void OnProposalStored(const Ledger::Proposal& proposal);
  void OnCommitConflict(const Ledger::Proposal& proposal,
                        const Totals& totals,
                        const storage::TableResponse& answer);
  // Sets `draws_paused_until_` after a conflict.
  void PauseDrawing();
  void ApplyHolderRow(const storage::VersionedRow& row);
  void ApplyTotalRow(const storage::VersionedRow& row);
  // Tells the lost predecessor the accounts and totals that are known.
  void UpdatePredecessor();
  // Adds to `totals` what the lost predecessor may have drawn, up to
  // `max_totals` rows in all.
  void SettlePredecessor(const Ledger::Proposal& proposal,
                         std::size_t max_totals,
                         Totals& totals) const;
  // Whether tokens that were written off would cover what the account lacks.
  bool IsWrittenOff(const base::AccountId& account, base::Tokens tokens) const;
  void UpdateTotal(const base::AccountId& account,
                   std::uint64_t version,
                   const AccountRow& row);
  // Notes that the stored total cannot be decoded. It stays as it is, and
  // nothing is drawn or returned until it can be.
  void OnTotalUnreadable(const base::AccountId& account);
  std::set<base::AccountId> UnreadableTotals() const;
  // Notes, once for each, a row of an account that another build may know.
  void LogUnknownRow(const storage::RowKey& key);
  void ReadTotal(const base::AccountId& account);
  bool IsTotalFresh(const base::AccountId& account) const;
  // Whether the row could not be decoded, and was read just now.
  static bool IsReadPaused(const StoredTotal& total);
  // Resolves waiters, then continues the return of tokens or a deferred tick.
  void ContinueAfterCommit();
  void CommitReturnProposal();
  void GiveAllAvailable();
  // Gives back what was borrowed for requests and not used: in a large fleet,
  // the remainders of all instances would add up to many requests.
  void GiveBackUnused();
  std::uint64_t AddWaiter(const base::AccountId& account,
                          base::Tokens tokens,
                          std::chrono::milliseconds timeout,
                          Handler handler);
  // Runs the handlers of all waiters whose outcome is known.
  void ResolveWaiters();
  // Reserves the waiter's tokens if possible. Returns its outcome, or nothing
  // if it has to wait longer.
  std::optional<ReserveOutcome> TryResolve(Waiter& waiter, base::MonoTime now);
  bool IsOwner(const base::AccountId& account) const;
  // Whether tokens may be drawn from the store for the waiter.
  bool ShouldDrawFor(const Waiter& waiter) const;
  void StartBorrowing(Waiter& waiter);
  void OnBorrowed(const base::AccountId& account,
                  std::uint64_t id,
                  base::Tokens requested,
                  const Loan& loan);
  // Draws tokens. Reads the stored total first if it does not cover `tokens`
  // but may be out of date.
  void DrawOrReadTotal(const base::AccountId& account, base::Tokens tokens);
  void LogRefusal(const Waiter& waiter, ReserveOutcome outcome) const;
  void ScheduleWaiterCheck();
  std::vector<Ledger::AccountView> AccountViews() const;
  std::chrono::milliseconds EstimateStoreTime() const;
  storage::RowKey HolderKey() const;
  static storage::RowKey TotalKey(const base::AccountId& account);

  boost::asio::io_context& loop_;
  storage::AsyncTable& table_;
  const std::string instance_;
  Ledger ledger_;
  std::map<base::AccountId, base::Tokens> prepaid_;
  std::map<base::AccountId, StoredTotal> totals_;
  std::set<std::string> logged_unknown_rows_;
  Contributions contributions_;
  std::optional<std::uint64_t> era_;
  std::uint64_t fleet_settled_era_ = 0;
  LostPredecessor predecessor_;
  // The row from which tokens were recovered, with the shares of the accounts
  // whose totals have not been read since: if the store is restored, only these
  // totals have what the predecessor drew.
  HolderRow recovered_row_;
  // HolderRow::era of the rows that this process stores.
  std::uint64_t row_era_ = 0;
  // The row of this instance has been read, so the era of the store is known.
  bool has_read_row_ = false;
  bool has_stored_row_ = false;
  // The shares of the last stored row, and when it was stored.
  std::map<base::AccountId, HolderShare> stored_shares_;
  base::MonoTime row_stored_at_{};

  bool is_committing_ = false;
  bool tick_pending_ = false;
  bool last_commit_failed_ = false;
  int consecutive_conflicts_ = 0;
  // Until then no tokens are drawn from accounts that other instances own.
  base::MonoTime draws_paused_until_{};
  std::mt19937_64 random_;
  std::uint64_t holder_version_ = 0;
  // Proposals whose answer was lost, so they may have been stored.
  std::vector<Ledger::Proposal> in_doubt_;
  std::chrono::milliseconds store_time_{0};
  base::MonoTime store_time_received_at_{};

  std::list<Waiter> waiters_;
  std::uint64_t next_waiter_id_ = 1;
  boost::asio::steady_timer waiter_timer_;
  Peers peers_;
  std::function<void()> on_returned_;
  bool is_returning_ = false;
  int return_attempts_ = 0;
};

}  // namespace dandelionmill::prepaid

#endif  // SRC_DANDELIONMILL_PREPAID_TOKEN_POOL_H_
