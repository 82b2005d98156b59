#ifndef SRC_DANDELIONMILL_PREPAID_LOST_PREDECESSOR_H_
#define SRC_DANDELIONMILL_PREPAID_LOST_PREDECESSOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/prepaid/rows.h"

namespace dandelionmill::prepaid {

// The previous process of this instance, if a restored store has lost its last
// rows. It may have drawn and used tokens that neither its row nor the totals
// show, and nothing in an outdated row bounds their number. Unless another
// process knows more, all tokens of the account are written off. Pure.
class LostPredecessor {
 public:
  // Time from the first answer of the store until accounts are settled. By then
  // the operator has written the configuration with the prepaid amounts again,
  // and processes that lived through the restore have completed the totals.
  static constexpr std::chrono::milliseconds kSettleDelay{2500};

  // No process was lost.
  LostPredecessor() = default;
  // `row` is the outdated row, read at `now` and `store_time` by the store's
  // steady clock.
  LostPredecessor(const HolderRow& row,
                  std::chrono::milliseconds store_time,
                  base::MonoTime now);

  // Commands.
  // The accounts that have a limit at `now`.
  void SetAccounts(const std::map<base::AccountId, base::Tokens>& prepaid,
                   base::MonoTime now);
  // A total was read or written in an era of the store.
  void Observe(const base::AccountId& account,
               const AccountRow& row,
               std::uint64_t era);
  // What Settle returned for the account is stored.
  void OnSettled(const base::AccountId& account) { unsettled_.erase(account); }

  // Queries.
  bool is_settled() const { return !is_waiting_ && unsettled_.empty(); }
  // Accounts whose totals have to be settled now.
  const std::set<base::AccountId>& unsettled() const { return unsettled_; }
  // Accounts from which the process had drawn according to its row; none once
  // all accounts are settled.
  std::set<base::AccountId> listed() const;
  // Returns the total `row`, as stored in `era`, after `process` has added what
  // the lost process may have drawn from the account, which has `prepaid`
  // tokens. `sequence` and `store_time` are those of AfterMove.
  AccountRow Settle(const base::AccountId& account,
                    AccountRow row,
                    base::Tokens prepaid,
                    std::uint64_t era,
                    const std::string& process,
                    std::uint64_t sequence,
                    std::chrono::milliseconds store_time) const;

 private:
  // Whether nothing has to be added to `row`.
  bool IsComplete(const base::AccountId& account,
                  const AccountRow& row,
                  std::uint64_t era) const;
  base::Tokens ListedUse(const base::AccountId& account) const;

  std::string process_;
  std::uint64_t sequence_ = 0;
  // By account, the tokens that its row allowed it to use beyond those drawn.
  std::map<base::AccountId, base::Tokens> listed_;
  bool is_waiting_ = false;
  base::MonoTime settle_at_{};
  std::set<base::AccountId> unsettled_;
};

}  // namespace dandelionmill::prepaid

#endif  // SRC_DANDELIONMILL_PREPAID_LOST_PREDECESSOR_H_
