#include "dandelionmill/routing/policy.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::routing {
namespace {

using Backends = std::vector<BackendState*>;

double RelativeLoad(const BackendState& backend, base::MonoTime now) {
  return static_cast<double>(backend.load.Total(now)) /
         std::max(1, backend.spec.slots);
}

std::size_t RandomIndex(std::size_t size, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

// Breaks ties at random so that routers do not all choose the same server.
BackendState* LeastLoaded(const Backends& free,
                          base::MonoTime now,
                          std::mt19937_64& random) {
  const std::size_t offset = RandomIndex(free.size(), random);
  BackendState* least = nullptr;
  for (std::size_t i = 0; i < free.size(); ++i) {
    BackendState* backend = free[(offset + i) % free.size()];
    if (least == nullptr ||
        RelativeLoad(*backend, now) < RelativeLoad(*least, now))
      least = backend;
  }
  return least;
}

// Returns whether a server that has `load` of `total` requests stays within the
// load bound after one more. `slots_share` is its share of all slots.
bool FitsBound(int load, int total, double slots_share) {
  const double share = (total + 1) * slots_share;
  const double bound = std::max(std::floor(share * AffinityPolicy::kLoadBound),
                                std::ceil(share));
  return load + 1 <= bound;
}

// Returns the free backend servers that stay within the load bound after one
// more request, both for the load of all routers and for that of this router.
// Until the next load report all routers see the same server below the bound;
// since each keeps its own share within the bound, so does their sum.
Backends WithinBound(const Candidates& candidates, base::MonoTime now) {
  int total = 0;
  int own = 0;
  double slots = 0;
  for (const BackendState* backend : candidates.usable) {
    total += backend->load.Total(now);
    own += backend->load.own();
    slots += backend->spec.slots;
  }
  Backends within;
  for (BackendState* backend : candidates.free) {
    const double share = backend->spec.slots / slots;
    if (FitsBound(backend->load.Total(now), total, share) &&
        FitsBound(backend->load.own(), own, share))
      within.push_back(backend);
  }
  return within;
}

// Hashes the first uncached block, so that routers that do not know each
// other's requests send a conversation to the same backend server.
std::uint64_t HashScore(const BackendState& backend,
                        const Request& request,
                        int cached) {
  const std::size_t block =
      std::min<std::size_t>(cached, request.prefix_blocks.size() - 1);
  return base::StableHash(backend.spec.id.value() + "\n" +
                          request.prefix_blocks[block]);
}

BackendState* ChooseByPrefix(const Candidates& candidates,
                             const Request& request,
                             base::MonoTime now,
                             std::mt19937_64& random) {
  const Backends within = WithinBound(candidates, now);
  if (within.empty() || request.prefix_blocks.empty())
    return LeastLoaded(within.empty() ? candidates.free : within, now, random);
  BackendState* best = nullptr;
  std::tuple<int, std::uint64_t> best_score;
  for (BackendState* backend : within) {
    const int cached = backend->cache.CountLeading(request.prefix_blocks);
    const std::tuple score(cached, HashScore(*backend, request, cached));
    if (best == nullptr || score > best_score) {
      best = backend;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

Policy PolicyOf(inventory::RoutingPolicy rule) {
  switch (rule) {
    case inventory::RoutingPolicy::kAffinity:
      return AffinityPolicy{};
    case inventory::RoutingPolicy::kRandom:
      return RandomPolicy{};
    case inventory::RoutingPolicy::kLeastInFlight:
      return LeastInFlightPolicy{};
    case inventory::RoutingPolicy::kTwoChoices:
      return TwoChoicesPolicy{};
  }
  return AffinityPolicy{};
}

BackendState* ChooseBackend(const Policy& policy,
                            const Candidates& candidates,
                            const Request& request,
                            base::MonoTime now,
                            std::mt19937_64& random) {
  const Backends& free = candidates.free;
  if (free.empty())
    return nullptr;
  return std::visit(
      base::Overloaded{
          [&](const AffinityPolicy&) {
            return ChooseByPrefix(candidates, request, now, random);
          },
          [&](const RandomPolicy&) {
            return free[RandomIndex(free.size(), random)];
          },
          [&](const LeastInFlightPolicy&) {
            return LeastLoaded(free, now, random);
          },
          [&](const TwoChoicesPolicy&) {
            BackendState* a = free[RandomIndex(free.size(), random)];
            BackendState* b = free[RandomIndex(free.size(), random)];
            return RelativeLoad(*b, now) < RelativeLoad(*a, now) ? b : a;
          }},
      policy);
}

}  // namespace dandelionmill::routing
