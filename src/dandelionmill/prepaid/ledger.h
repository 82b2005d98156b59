#ifndef SRC_DANDELIONMILL_PREPAID_LEDGER_H_
#define SRC_DANDELIONMILL_PREPAID_LEDGER_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/prepaid/rows.h"

namespace dandelionmill::prepaid {

// What this process may use of the client accounts' prepaid tokens. Tokens are
// usable once a stored row says that they were drawn here, and only as far as
// that row promises, so that a successor can tell what an ended process cannot
// have used: what the row lists as committed, and more only after the store has
// been out of reach for the quiet time. Pure; the keeper stores what it
// proposes.
class Ledger {
 public:
  // How long after a stored row no more than it lists is committed. Rows are
  // stored more often than this while the store answers.
  static constexpr std::chrono::milliseconds kQuiet{500};

  // What the keeper knows of an account when it asks for a proposal.
  struct AccountView {
    base::AccountId account;
    base::Tokens prepaid = 0;
    // The stored total, as last seen.
    base::Tokens drawn = 0;
    // This instance holds the tokens for the others.
    bool is_owner = true;
    // Tokens of reservations that wait here, to be listed as committed.
    base::Tokens listed = 0;
    // Part of these for which tokens are drawn if need be.
    base::Tokens waited_for = 0;
    // Whether tokens may be drawn now.
    bool may_draw = true;
  };

  // A change of the stored rows.
  struct Proposal {
    HolderRow row;
    // Tokens to draw (or to return, if negative) by account; 0 is left out.
    std::map<base::AccountId, base::Tokens> moves;
  };

  // `process` names this life of the process.
  explicit Ledger(std::string process) : process_(std::move(process)) {}

  // Commands.
  // Reserves tokens. Returns false, and reserves none, when not enough may be
  // used now.
  bool TryReserve(const base::AccountId& account,
                  base::Tokens tokens,
                  base::BootTime now);
  // Ends a reservation of which `used` were used.
  void Settle(const base::AccountId& account,
              base::Tokens reserved,
              base::Tokens used);
  // Gives reserved tokens to another instance.
  void GiveAway(const base::AccountId& account, base::Tokens reserved) {
    Settle(account, reserved, reserved);
  }
  // Adds tokens that another instance gave away. They are in no row, so a
  // successor does not find them.
  void Borrow(const base::AccountId& account, base::Tokens tokens);
  // Takes over what an ended process of this instance left, `store_time` by the
  // store's clock. It becomes usable with the next stored proposal. Returns how
  // many tokens these are.
  base::Tokens Recover(const HolderRow& left,
                       std::chrono::milliseconds store_time);
  // Returns what should be stored next. Tokens that it returns are not usable
  // from now on. With `only_move` it moves tokens of one account only, which
  // that number chooses: fewer rows are less often changed by others meanwhile.
  Proposal Propose(const std::vector<AccountView>& accounts,
                   std::chrono::milliseconds store_time,
                   base::BootTime now,
                   std::optional<int> only_move = std::nullopt);
  // Returns a proposal that returns everything unused, for the end of the
  // process.
  Proposal ProposeReturn(std::chrono::milliseconds store_time);
  // The proposal has been stored; the answer came at `now`.
  void OnStored(const Proposal& proposal, base::BootTime now);
  // The proposal has certainly not been stored and will not be.
  void OnDropped(const Proposal& proposal);

  // Queries.
  const std::string& process() const { return process_; }
  // Tokens that a request may reserve now.
  base::Tokens Available(const base::AccountId& account,
                         base::BootTime now) const;
  // Tokens held and not committed, whether or not they may be used yet.
  base::Tokens Held(const base::AccountId& account) const;
  // Tokens held, with those that are on their way back to the store or have
  // been recovered and are not usable yet.
  base::Tokens Left(const base::AccountId& account) const;
  // Borrowed tokens that are not committed.
  base::Tokens BorrowedLeft(const base::AccountId& account) const;
  // Tokens used here, or given away, since the process started.
  base::Tokens Used(const base::AccountId& account) const;
  std::vector<base::AccountId> Accounts() const;

 private:
  struct Share {
    // Drawn by the stored row.
    base::Tokens drawn = 0;
    // Part of `drawn` that a proposal under way returns.
    base::Tokens returning = 0;
    // Left by an ended process; becomes part of `drawn` when stored.
    base::Tokens recovered = 0;
    // Given by other instances.
    base::Tokens borrowed = 0;
    base::Tokens used = 0;
    base::Tokens reserved = 0;
    // The promise of the stored row.
    base::Tokens promised = 0;
    double rate_per_s = 0;
    base::BootTime stored_at{};
    // Tokens reserved, decaying with kDemandMemory.
    double recent = 0;
    base::BootTime recent_at{};
    double mean_request = 0;
    base::BootTime first_at{};

    // Borrowed tokens are used first; only the rest counts against `drawn`.
    base::Tokens committed() const {
      return std::max<base::Tokens>(0, used + reserved - borrowed);
    }
    base::Tokens borrowed_left() const {
      return std::max<base::Tokens>(0, borrowed - used - reserved);
    }
    base::Tokens held_of_drawn() const {
      return drawn - returning - committed();
    }
    base::Tokens held() const { return held_of_drawn() + borrowed_left(); }
  };

  static double DemandPerSecond(const Share& share, base::BootTime now);
  base::Tokens MoveFor(const Share& share,
                       const AccountView& view,
                       base::BootTime now) const;
  HolderRow MakeRow(std::chrono::milliseconds store_time);

  const std::string process_;
  std::uint64_t sequence_ = 0;
  std::map<base::AccountId, Share> shares_;
};

}  // namespace dandelionmill::prepaid

#endif  // SRC_DANDELIONMILL_PREPAID_LEDGER_H_
