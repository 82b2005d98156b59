#include "dandelionmill/prepaid/contributions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionmill::prepaid {
namespace {

// How long a stored row lists a contribution after its last change.
constexpr std::chrono::minutes kListedTime = 2 * Contributions::kMemory;

}  // namespace

AccountRow AfterMove(AccountRow row,
                     const std::string& process,
                     base::Tokens tokens,
                     std::uint64_t sequence,
                     std::chrono::milliseconds store_time) {
  row.drawn += tokens;
  Contribution& own = row.contributions[process];
  own.moved += tokens;
  own.sequence = sequence;
  own.as_of = store_time;
  auto& listed = row.contributions;
  for (auto it = listed.begin(); it != listed.end();) {
    const bool is_old = it->second.as_of < store_time - kListedTime;
    it = is_old ? listed.erase(it) : std::next(it);
  }
  return row;
}

void Contributions::Observe(const base::AccountId& account,
                            const AccountRow& row,
                            std::uint64_t era) {
  if (row.contributions.empty())
    return;
  ByProcess& by_process = known_[account];
  for (const auto& [process, contribution] : row.contributions) {
    Known& known = by_process[process];
    if (contribution.sequence < known.contribution.sequence)
      continue;
    known.contribution = contribution;
    known.era = std::max(known.era, era);
  }
}

void Contributions::Expire(std::chrono::milliseconds store_time) {
  for (auto account = known_.begin(); account != known_.end();) {
    ByProcess& by_process = account->second;
    for (auto it = by_process.begin(); it != by_process.end();) {
      const bool is_old = it->second.contribution.as_of < store_time - kMemory;
      it = is_old ? by_process.erase(it) : std::next(it);
    }
    account = by_process.empty() ? known_.erase(account) : std::next(account);
  }
}

AccountRow Contributions::Complete(const base::AccountId& account,
                                   AccountRow row,
                                   std::uint64_t era) const {
  const auto found = known_.find(account);
  if (found == known_.end())
    return row;
  for (const auto& [process, known] : found->second) {
    const Contribution& latest = known.contribution;
    if (known.era >= era)
      continue;
    Contribution& stored = row.contributions[process];
    if (latest.sequence <= stored.sequence)
      continue;
    row.drawn += latest.moved - stored.moved;
    stored = latest;
  }
  return row;
}

bool Contributions::HasEarlier(const ByProcess& known, std::uint64_t era) {
  return std::any_of(known.begin(), known.end(), [era](const auto& process) {
    return process.second.era < era;
  });
}

bool Contributions::HasEarlier(const base::AccountId& account,
                               std::uint64_t era) const {
  const auto found = known_.find(account);
  return found != known_.end() && HasEarlier(found->second, era);
}

std::vector<base::AccountId> Contributions::AccountsBefore(
    std::uint64_t era) const {
  std::vector<base::AccountId> accounts;
  for (const auto& [account, known] : known_) {
    if (HasEarlier(known, era))
      accounts.push_back(account);
  }
  return accounts;
}

}  // namespace dandelionmill::prepaid
