#ifndef SRC_DANDELIONMILL_PREPAID_LEDGER_H_
#define SRC_DANDELIONMILL_PREPAID_LEDGER_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/prepaid/rows.h"

namespace dandelionmill::prepaid {

// Tracks the prepaid tokens of the client accounts that this process may use.
// Tokens become usable once a stored row records that this process drew them,
// and only within the limits of that row: the committed tokens, and more only
// after the row has expired because the store was unreachable. From these
// limits a successor computes what a terminated process cannot have used.
// Performs no I/O; TokenPool stores the proposals.
class Ledger {
 public:
  // Validity of a stored row: how long no more than its committed tokens are
  // used. A successor cannot tell whether a process ended or was cut off from
  // the store, so what it might use after that time is lost when it ends. A
  // longer validity loses less, but when the store is lost, requests wait for
  // its end.
  static constexpr std::chrono::milliseconds kRowValidity{900};
  // How often a row is stored while the store answers.
  static constexpr std::chrono::milliseconds kRowInterval{250};

  // An account as last known to TokenPool, the input of a proposal.
  struct AccountView {
    base::AccountId account;
    base::Tokens prepaid = 0;
    // The stored total of drawn tokens, as last read.
    base::Tokens drawn = 0;
    // Whether this instance holds the account's tokens for the others.
    bool is_owner = true;
    // Tokens of waiting reservations, to be listed as committed.
    base::Tokens pending_tokens = 0;
    // Part of `pending_tokens` that is drawn from the store if not held.
    base::Tokens pending_to_draw = 0;
    // Whether tokens may be drawn now.
    bool may_draw = true;
    // Whether the stored total can be changed. It is not if the row cannot be
    // decoded, as it may be another build's.
    bool may_change_total = true;
  };

  // A change of the stored rows.
  struct Proposal {
    HolderRow row;
    // Tokens to draw, or to return if negative, by account. Accounts without
    // a change are left out.
    std::map<base::AccountId, base::Tokens> moves;
  };

  // `process` is unique for each start of the process.
  explicit Ledger(std::string process) : process_(std::move(process)) {}

  // Commands.
  // Reserves `tokens`. Returns false and reserves nothing if fewer are
  // available.
  bool TryReserve(const base::AccountId& account,
                  base::Tokens tokens,
                  base::BootTime now);
  // Ends a reservation; the tokens that were not used become available again.
  void Settle(const base::AccountId& account,
              base::Tokens reserved,
              base::Tokens used);
  // Ends a reservation whose tokens are given to another instance.
  void GiveReserved(const base::AccountId& account, base::Tokens reserved) {
    Settle(account, reserved, reserved);
  }
  // Adds tokens received from another instance. They are in no stored row, so a
  // successor cannot recover them.
  void Borrow(const base::AccountId& account, base::Tokens tokens);
  // Removes the borrowed tokens that are not committed, to be given back, if
  // nothing was reserved for `idle` before `now`. Returns their number.
  base::Tokens TakeUnusedBorrowed(const base::AccountId& account,
                                  std::chrono::milliseconds idle,
                                  base::BootTime now);
  // Takes over the unused tokens of a terminated process of this instance, at
  // `store_time` by the store's clock. They become usable with the next stored
  // proposal. Returns their number; 0 if a store time is unknown.
  base::Tokens Recover(const HolderRow& predecessor_row,
                       std::chrono::milliseconds store_time);
  // Creates the next proposal to store. Tokens that it returns to the store are
  // unusable from now on. With `single_move_index` it moves tokens of only one
  // account, selected by that number modulo the number of moves: a transaction
  // over fewer rows conflicts less often.
  Proposal Propose(const std::vector<AccountView>& accounts,
                   std::chrono::milliseconds store_time,
                   base::BootTime now,
                   std::optional<int> single_move_index = std::nullopt);
  // Creates a proposal that returns all unused tokens, for the shutdown of the
  // process. Those of the accounts in `kept` stay in the holder row.
  Proposal ProposeReturn(std::chrono::milliseconds store_time,
                         const std::set<base::AccountId>& kept = {});
  // Applies a proposal that was stored; its answer was received at `now`.
  void OnStored(const Proposal& proposal, base::BootTime now);
  // Reverts a proposal that was not stored and can no longer be stored.
  void OnDropped(const Proposal& proposal);

  // Queries.
  const std::string& process() const { return process_; }
  // Tokens that can be reserved at `now`.
  base::Tokens Available(const base::AccountId& account,
                         base::BootTime now) const;
  // Tokens held and not committed, including those that are not usable yet.
  base::Tokens Held(const base::AccountId& account) const;
  // Held tokens plus those being returned to the store and those recovered
  // from a predecessor but not usable yet.
  base::Tokens Remaining(const base::AccountId& account) const;
  // Borrowed tokens that are not committed.
  base::Tokens UnusedBorrowed(const base::AccountId& account) const;
  // Tokens used here or given to other instances since the process started.
  base::Tokens Used(const base::AccountId& account) const;
  std::vector<base::AccountId> Accounts() const;

 private:
  struct Share {
    // Tokens drawn according to the stored row.
    base::Tokens drawn = 0;
    // Part of `drawn` that a proposal in flight returns.
    base::Tokens returning = 0;
    // Recovered from a predecessor; added to `drawn` once stored.
    base::Tokens recovered = 0;
    // Received from other instances.
    base::Tokens borrowed = 0;
    base::Tokens used = 0;
    base::Tokens reserved = 0;
    // The limits of the stored row.
    HolderShare stored;
    base::BootTime stored_at{};
    // Reserved tokens, decayed exponentially with kDemandTimeConstant.
    double recent_tokens = 0;
    base::BootTime recent_tokens_at{};
    double mean_request_tokens = 0;
    base::BootTime first_reserved_at{};

    // Borrowed tokens are used first; only the remainder counts against
    // `drawn`.
    base::Tokens committed() const {
      return std::max<base::Tokens>(0, used + reserved - borrowed);
    }
    base::Tokens unused_borrowed() const {
      return std::max<base::Tokens>(0, borrowed - used - reserved);
    }
    base::Tokens held_drawn() const { return drawn - returning - committed(); }
    base::Tokens held() const { return held_drawn() + unused_borrowed(); }
  };

  static double DemandPerSecond(const Share& share, base::BootTime now);
  base::Tokens TokensToMove(const Share& share,
                            const AccountView& view,
                            base::BootTime now) const;
  HolderRow MakeHolderRow(std::chrono::milliseconds store_time);

  const std::string process_;
  std::uint64_t sequence_ = 0;
  std::map<base::AccountId, Share> shares_;
};

}  // namespace dandelionmill::prepaid

#endif  // SRC_DANDELIONMILL_PREPAID_LEDGER_H_
