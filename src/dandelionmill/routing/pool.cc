#include "dandelionmill/routing/pool.h"

#include <algorithm>
#include <array>

namespace dandelionmill::routing {
namespace {

constexpr std::array<Tier, 3> kTiers{Tier::kZone, Tier::kRegion, Tier::kRemote};

// A mean latency above this multiple of the median counts as slow.
constexpr double kSlowRatio = 3;
// Added to that threshold for the time to the first event.
constexpr LatencyAverage::Seconds kFirstEventMargin{0.1};
// The median of fewer backend servers is not meaningful.
constexpr std::size_t kMinPeers = 3;
// At most one in this many backend servers, but at least one, may be ejected
// when a slow one is ejected.
constexpr std::size_t kSlowEjectionDivisor = 4;

Tier TierOf(const inventory::Snapshot& config,
            const base::ZoneId& own,
            const base::ZoneId& other) {
  if (own == other)
    return Tier::kZone;
  return config.RegionOf(own) == config.RegionOf(other) ? Tier::kRegion
                                                        : Tier::kRemote;
}

}  // namespace

void Pool::Configure(const inventory::Snapshot& config,
                     const base::ServiceId& service,
                     const base::ZoneId& zone,
                     base::MonoTime now) {
  const bool in_use = !backends_.empty();
  cross_zone_ = config.rules().cross_zone;
  cross_region_ = config.rules().cross_region;
  for (auto& [id, backend] : backends_)
    backend.removed = true;
  for (const inventory::Backend& spec : config.core().backends) {
    if (spec.service != service)
      continue;
    const auto [found, added] = backends_.try_emplace(spec.id);
    BackendState& backend = found->second;
    if (added && in_use)
      backend.health.BeginSlowStart(now);
    backend.spec = spec;
    backend.tier = TierOf(config, zone, spec.zone);
    backend.removed = false;
  }
  DropRemoved();
}

void Pool::DropRemoved() {
  for (auto it = backends_.begin(); it != backends_.end();) {
    if (it->second.removed && it->second.load.own() == 0)
      it = backends_.erase(it);
    else
      ++it;
  }
}

void Pool::SetLeaving(const std::set<base::BackendId>& leaving) {
  for (auto& [id, backend] : backends_)
    backend.listed_leaving = leaving.count(id) > 0;
}

BackendState* Pool::Find(const base::BackendId& id) {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

inventory::Spill Pool::SpillOf(Tier tier) const {
  switch (tier) {
    case Tier::kZone:
      return inventory::Spill::kAlways;
    case Tier::kRegion:
      return cross_zone_;
    case Tier::kRemote:
      return cross_region_;
  }
  return inventory::Spill::kNever;
}

bool Pool::MayServe(const BackendState& backend, const Request& request) const {
  return !backend.IsLeaving() &&
         SpillOf(backend.tier) != inventory::Spill::kNever &&
         backend.Serves(request.model, request.adapter);
}

bool Pool::CanServe(const Request& request) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& item) {
    return MayServe(item.second, request);
  });
}

bool Pool::AllEjected(const Request& request) const {
  return std::none_of(backends_.begin(), backends_.end(),
                      [&](const auto& item) {
                        return MayServe(item.second, request) &&
                               !item.second.health.IsEjected();
                      });
}

Candidates Pool::FindCandidates(const Request& request,
                                const std::set<base::BackendId>& excluded,
                                base::MonoTime now) {
  Candidates found;
  const bool use_ejected = AllEjected(request);
  for (const Tier tier : kTiers) {
    if (SpillOf(tier) == inventory::Spill::kWhenLocalFull &&
        !found.free.empty())
      continue;
    for (auto& [id, backend] : backends_) {
      if (backend.tier != tier || !MayServe(backend, request))
        continue;
      const bool free = excluded.count(id) == 0 && backend.FreeSlots(now) > 0;
      if (backend.health.IsEjected() && !use_ejected) {
        if (free && found.probe == nullptr && backend.health.IsProbeDue(now))
          found.probe = &backend;
        continue;
      }
      found.usable.push_back(&backend);
      if (free)
        found.free.push_back(&backend);
    }
  }
  return found;
}

std::vector<base::BackendId> Pool::AllUsable(const Request& request) const {
  const bool use_ejected = AllEjected(request);
  std::vector<base::BackendId> usable;
  for (const auto& [id, backend] : backends_) {
    if (MayServe(backend, request) &&
        (use_ejected || !backend.health.IsEjected()))
      usable.push_back(id);
  }
  return usable;
}

void Pool::EjectSlowBackends(base::MonoTime now) {
  EjectSlowBackendsBy(&Health::first_event, kFirstEventMargin, now);
  EjectSlowBackendsBy(&Health::run_per_token, LatencyAverage::Seconds{0}, now);
}

void Pool::EjectSlowBackendsBy(LatencyAverage Health::*average,
                               LatencyAverage::Seconds margin,
                               base::MonoTime now) {
  std::vector<LatencyAverage::Seconds> means;
  std::size_t serving = 0;
  std::size_t slow = 0;
  for (const auto& [id, backend] : backends_) {
    if (backend.IsLeaving())
      continue;
    ++serving;
    slow += backend.health.IsEjected() ? 1 : 0;
    const LatencyAverage& latency = backend.health.*average;
    if (!backend.health.IsEjected() && latency.IsKnown())
      means.push_back(latency.mean());
  }
  if (means.size() < kMinPeers)
    return;
  std::nth_element(means.begin(), means.begin() + means.size() / 2,
                   means.end());
  const auto median = means[means.size() / 2];
  for (auto& [id, backend] : backends_) {
    const LatencyAverage& latency = backend.health.*average;
    if (backend.IsLeaving() || backend.health.IsEjected() ||
        !latency.IsKnown() || latency.mean() <= kSlowRatio * median + margin)
      continue;
    if (slow + 1 > std::max<std::size_t>(1, serving / kSlowEjectionDivisor))
      return;
    backend.health.EjectAsSlow(now);
    ++slow;
  }
}

int Pool::CountRunning() const {
  int running = 0;
  for (const auto& [id, backend] : backends_)
    running += backend.load.own();
  return running;
}

}  // namespace dandelionmill::routing
