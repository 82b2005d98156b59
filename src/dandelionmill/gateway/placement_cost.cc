#include "dandelionmill/gateway/placement_cost.h"

#include <algorithm>

namespace dandelionmill::gateway {
namespace {

// Prefill rate of a model engine, in tokens/ms; the site files specify 55 and
// 112.
constexpr double kPrefillTokensPerMs = 70;

// Additional wait at a model engine with all slots in use, since its steps take
// longer.
constexpr double kFullBatchWaitMs = 250;

// Additional wait for each request that a model engine has not admitted yet.
constexpr double kQueuedRequestWaitMs = 40;

// Time for which a request to a model engine occupies a slot, where the wait
// for a slot is computed from reports; the site files imply 0.2 to 3 s.
constexpr double kModelServiceTimeMs = 1200;

// Service time of a request to a plain service, for its queueing delay.
constexpr double kPlainServiceTimeMs = 40;

// Round trip time to another availability zone.
constexpr double kCrossZoneRoundTripMs = 16;

// Costs are in bytes between zones, the unit that the users price. Their site
// files price repeated prefill of 1,000 shared tokens as 47 kB between regions,
// and a late response to a request of ordinary worth as 200 kB.
constexpr double kPrefillCostPerToken = 47;
constexpr double kLateCost = 200e3;
constexpr double kFailureCost = 250e3;
// Waiting has a small cost even if the response is on time, since it delays
// other requests.
constexpr double kWaitCostPerMs = 20;

// Share of the latency objective up to which an expected wait has no risk of a
// late response, and the upper bound of that risk as a factor of kLateCost.
constexpr double kRisklessObjectiveShare = 0.4;
constexpr double kMaxLateRisk = 6;

double PrefillMs(const PlacementCandidate& candidate) {
  return static_cast<double>(candidate.state.pending_prefill_tokens +
                             candidate.state.peers.pending_prefill_tokens +
                             candidate.uncached) /
         kPrefillTokensPerMs;
}

double PlainWaitMs(double in_flight, double slots) {
  return kPlainServiceTimeMs * (1 + std::max(0.0, in_flight + 1 - slots)) +
         kPlainServiceTimeMs * 0.5 * in_flight / slots;
}

// The wait by the load estimated from reports with a work time.
double EstimatedWaitMs(const PlacementCandidate& candidate, bool is_model) {
  const scheduling::TrustedLoad& load = *candidate.load;
  const double slots = std::max(1.0, load.slots);
  const double in_flight = candidate.state.in_flight + load.others;
  if (!is_model)
    return load.work_time * PlainWaitMs(in_flight, slots);
  const double queued = std::max({0.0, load.waiting, in_flight - slots});
  return load.work_time *
         (PrefillMs(candidate) + kFullBatchWaitMs * in_flight / slots +
          kModelServiceTimeMs / slots * queued);
}

double WaitByRecentReportMs(const PlacementCandidate& candidate,
                            bool is_model,
                            base::MonoTime now) {
  const PlacementState& state = candidate.state;
  const double freshness = state.LoadFreshness(now);
  const double other_in_flight = freshness * state.other_in_flight;
  const double in_flight =
      state.in_flight +
      std::max<double>(other_in_flight, state.peers.in_flight);
  const double slots = std::max(1, candidate.backend.slots);
  if (!is_model)
    return PlainWaitMs(in_flight, slots);
  return PrefillMs(candidate) + kFullBatchWaitMs * in_flight / slots +
         kQueuedRequestWaitMs * freshness * state.reported_waiting +
         kQueuedRequestWaitMs * std::max(0.0, in_flight - slots);
}

// The cost of the delay that prefill causes for requests in flight; 0 while
// responses are on time.
double PrefillDelayCost(const PlacementCandidate& candidate,
                        double late_risk,
                        double objective_ms) {
  const double delay_ms =
      static_cast<double>(candidate.uncached) / kPrefillTokensPerMs;
  const double others = candidate.load
                            ? candidate.state.in_flight + candidate.load->others
                            : candidate.state.in_flight +
                                  std::max(candidate.state.other_in_flight,
                                           candidate.state.peers.in_flight);
  return std::min(1.0, late_risk) * others * delay_ms * kLateCost /
         ((1 - kRisklessObjectiveShare) * objective_ms);
}

}  // namespace

double ExpectedWaitMs(const PlacementCandidate& candidate,
                      const PlacementRequest& request,
                      base::MonoTime now) {
  const bool is_model = request.model != nullptr;
  double wait = candidate.load ? EstimatedWaitMs(candidate, is_model)
                               : WaitByRecentReportMs(candidate, is_model, now);
  wait *= candidate.state.Slowness(now);
  if (candidate.backend.zone != request.zone)
    wait += kCrossZoneRoundTripMs;
  if (candidate.backend.remaining_warm_up.count() > 0)
    wait *= 1.5;
  return wait;
}

double PrefillCost(const PlacementCandidate& candidate,
                   const PlacementRequest& request,
                   const SharedPrompt& shared) {
  if (shared.tokens == 0 || &candidate.backend == shared.home)
    return 0;
  const base::Tokens cached = std::min(
      shared.tokens,
      candidate.state.cached_prompts.CachedTokens(request.model->parts));
  double cost =
      kPrefillCostPerToken * static_cast<double>(shared.tokens - cached);
  if (candidate.backend.zone == request.zone)
    cost -= shared.cross_zone_bytes;
  return std::max(0.0, cost);
}

double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementRequest& request,
                     const SharedPrompt& shared,
                     double wait_ms,
                     base::MonoTime now) {
  const double objective = std::max<double>(
      1, static_cast<double>(request.latency_objective.count()));
  const double late_risk =
      std::clamp((wait_ms / objective - kRisklessObjectiveShare) /
                     (1 - kRisklessObjectiveShare),
                 0.0, kMaxLateRisk);
  return kLateCost * late_risk + kWaitCostPerMs * wait_ms +
         PrefillCost(candidate, request, shared) +
         PrefillDelayCost(candidate, late_risk, objective) +
         kFailureCost * candidate.state.FailureShare(now) +
         (candidate.backend.zone == request.zone
              ? 0
              : static_cast<double>(request.bytes));
}

}  // namespace dandelionmill::gateway
