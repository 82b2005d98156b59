#include "dandelionmill/gateway/partition_detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionmill::gateway {

bool PartitionDetector::OnConnected(const base::ServiceId& service) {
  const auto found = states_.find(service);
  if (found == states_.end())
    return false;
  found->second.failures.clear();
  return std::exchange(found->second.is_partitioned, false);
}

bool PartitionDetector::OnConnectFailed(const BackendEntry& backend,
                                        std::size_t listed,
                                        base::MonoTime now) {
  State& state = states_[backend.service];
  auto& failures = state.failures;
  for (auto it = failures.begin(); it != failures.end();) {
    it = now - it->second > kFailureLifetime ? failures.erase(it)
                                             : std::next(it);
  }
  failures[backend.id] = now;
  if (state.is_partitioned ||
      failures.size() < std::min(kMinUnreachable, listed))
    return false;
  state.is_partitioned = true;
  return true;
}

bool PartitionDetector::TryBeginCheck(const base::ServiceId& service,
                                      base::MonoTime now) {
  State& state = states_[service];
  if (state.last_check != base::MonoTime() &&
      now - state.last_check < kCheckInterval)
    return false;
  state.last_check = now;
  return true;
}

bool PartitionDetector::IsPartitioned(const base::ServiceId& service) const {
  const auto found = states_.find(service);
  return found != states_.end() && found->second.is_partitioned;
}

std::set<base::ServiceId> PartitionDetector::PartitionedServices() const {
  std::set<base::ServiceId> services;
  for (const auto& [service, state] : states_) {
    if (state.is_partitioned)
      services.insert(service);
  }
  return services;
}

}  // namespace dandelionmill::gateway
