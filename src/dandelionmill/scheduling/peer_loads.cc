#include "dandelionmill/scheduling/peer_loads.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::scheduling {
namespace {

void AddChanges(const std::vector<InstanceLoad>& loads,
                int sign,
                std::vector<PeerLoads::Change>& changes) {
  for (const InstanceLoad& load : loads) {
    changes.push_back({load.backend, sign * load.in_flight,
                       sign * load.pending_prefill_tokens});
  }
}

}  // namespace

void PeerLoads::SetInstances(std::size_t instances,
                             std::size_t reports_per_interval) {
  instances_ = instances;
  const double intervals =
      std::max(1.0, static_cast<double>(instances) /
                        static_cast<double>(reports_per_interval));
  validity_ = std::chrono::duration_cast<std::chrono::milliseconds>(
      3 * intervals * kReportInterval);
}

std::vector<PeerLoads::Change> PeerLoads::OnReport(
    const std::string& process,
    std::uint64_t number,
    std::vector<InstanceLoad> loads,
    base::MonoTime now) {
  std::vector<Change> changes;
  const auto [found, is_new] = reports_.try_emplace(process);
  Report& report = found->second;
  if (!is_new && number <= report.number)
    return changes;
  AddChanges(report.loads, -1, changes);
  report = {number, std::move(loads), now};
  AddChanges(report.loads, 1, changes);
  return changes;
}

std::vector<PeerLoads::Change> PeerLoads::Expire(base::MonoTime now) {
  std::vector<Change> changes;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.received_at < validity_) {
      ++it;
      continue;
    }
    AddChanges(it->second.loads, -1, changes);
    it = reports_.erase(it);
  }
  return changes;
}

}  // namespace dandelionmill::scheduling
