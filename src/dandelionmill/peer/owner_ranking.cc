#include "dandelionmill/peer/owner_ranking.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::peer {

void OwnerRanking::SetInstances(std::vector<Instance> others) {
  if (others == others_)
    return;
  others_ = std::move(others);
  orders_.clear();
}

const OwnerRanking::Order& OwnerRanking::OrderOf(
    const base::AccountId& account) const {
  const auto known = orders_.find(account);
  return known != orders_.end()
             ? known->second
             : orders_.emplace(account, Rank(account)).first->second;
}

OwnerRanking::Order OwnerRanking::Rank(const base::AccountId& account) const {
  const std::string prefix = account.value() + "/";
  const auto rank_of = [&prefix](const base::InstanceId& instance) {
    return base::StableHash(prefix + instance.value());
  };
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t i = 0; i < others_.size(); ++i)
    ranked.emplace_back(rank_of(others_[i].id), i);
  std::sort(ranked.rbegin(), ranked.rend());
  Order order;
  const std::uint64_t own = rank_of(self_);
  for (const auto& [rank, index] : ranked) {
    order.others.push_back(index);
    if (rank > own)
      ++order.above_self;
  }
  return order;
}

}  // namespace dandelionmill::peer
