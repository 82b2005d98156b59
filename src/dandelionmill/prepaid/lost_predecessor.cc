#include "dandelionmill/prepaid/lost_predecessor.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "dandelionmill/prepaid/contributions.h"

namespace dandelionmill::prepaid {

LostPredecessor::LostPredecessor(const HolderRow& row,
                                 std::chrono::milliseconds store_time,
                                 base::MonoTime now)
    : process_(row.process),
      sequence_(row.sequence),
      is_waiting_(true),
      settle_at_(now + kSettleDelay) {
  for (const auto& [account, share] : row.shares) {
    listed_[account] =
        row.as_of.count() == 0
            ? 0
            : UnaccountedUse(share, store_time - row.as_of - row.validity);
  }
  for (const base::AccountId& account : row.unsettled)
    listed_.try_emplace(account, 0);
}

void LostPredecessor::SetAccounts(
    const std::map<base::AccountId, base::Tokens>& prepaid,
    base::MonoTime now) {
  for (auto it = unsettled_.begin(); it != unsettled_.end();)
    it = prepaid.count(*it) == 0 ? unsettled_.erase(it) : std::next(it);
  if (!is_waiting_ || now < settle_at_)
    return;
  is_waiting_ = false;
  for (const auto& [account, tokens] : prepaid)
    unsettled_.insert(account);
}

void LostPredecessor::Observe(const base::AccountId& account,
                              const AccountRow& row,
                              std::uint64_t era) {
  if (IsComplete(account, row, era))
    unsettled_.erase(account);
}

std::set<base::AccountId> LostPredecessor::listed() const {
  std::set<base::AccountId> accounts;
  if (is_settled())
    return accounts;
  for (const auto& [account, tokens] : listed_)
    accounts.insert(account);
  return accounts;
}

base::Tokens LostPredecessor::ListedUse(const base::AccountId& account) const {
  const auto listed = listed_.find(account);
  return listed == listed_.end() ? 0 : listed->second;
}

bool LostPredecessor::IsComplete(const base::AccountId& account,
                                 const AccountRow& row,
                                 std::uint64_t era) const {
  if (row.written_off_era >= era)
    return true;
  const auto own = row.contributions.find(process_);
  if (own != row.contributions.end() && own->second.sequence > sequence_)
    return true;
  if (row.era >= era)
    return ListedUse(account) == 0;
  return listed_.count(account) == 0 && row.completed_era >= era;
}

AccountRow LostPredecessor::Settle(const base::AccountId& account,
                                   AccountRow row,
                                   base::Tokens prepaid,
                                   std::uint64_t era,
                                   const std::string& process,
                                   std::uint64_t sequence,
                                   std::chrono::milliseconds store_time) const {
  if (IsComplete(account, row, era))
    return row;
  // The instances that opened the account awaited no successor of the process,
  // and tokens have been drawn since; what its row allowed is added.
  if (row.era >= era) {
    return AfterMove(std::move(row), process, ListedUse(account), sequence,
                     store_time);
  }
  const base::Tokens tokens = std::max<base::Tokens>(0, prepaid - row.drawn);
  row = AfterMove(std::move(row), process, tokens, sequence, store_time);
  row.written_off += tokens;
  row.written_off_era = era;
  return row;
}

}  // namespace dandelionmill::prepaid
