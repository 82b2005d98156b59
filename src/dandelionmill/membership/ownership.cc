#include "dandelionmill/membership/ownership.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::membership {

std::vector<base::InstanceId> RankOwners(
    const std::string& key,
    const std::vector<base::InstanceId>& instances) {
  std::vector<std::pair<std::uint64_t, base::InstanceId>> scored;
  scored.reserve(instances.size());
  for (const base::InstanceId& instance : instances)
    scored.emplace_back(base::StableHash(instance.value() + "\n" + key),
                        instance);
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<base::InstanceId> ranked;
  ranked.reserve(scored.size());
  for (auto& [score, instance] : scored)
    ranked.push_back(std::move(instance));
  return ranked;
}

}  // namespace dandelionmill::membership
