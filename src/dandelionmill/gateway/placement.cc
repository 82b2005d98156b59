#include "dandelionmill/gateway/placement.h"

#include <algorithm>
#include <cmath>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

// Prefill rate of a model engine, in tokens/ms; the site files specify 55 and
// 112.
constexpr double kPrefillTokensPerMs = 70;

// Additional wait at a model engine with all slots in use, since its steps take
// longer.
constexpr double kFullBatchWaitMs = 250;

// Additional wait for each request that a model engine has not admitted yet.
constexpr double kQueuedRequestWaitMs = 40;

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

// Largest number of shared prompts whose cross-zone traffic is tracked.
constexpr std::size_t kMaxTrackedPrompts = 8192;

// Age up to which a load report has full weight; the weight then falls to 0
// over the same time.
constexpr milliseconds kLoadReportFreshTime{1500};

// Time constant of the exponential decay of the failure share.
constexpr duration<double> kFailureDecayTime{4.0};
// Weight of one outcome in the failure share.
constexpr double kFailureSmoothing = 0.2;

// Time constants after which a decayed value counts as gone. In a large fleet
// an instance knows nothing newer of most backend servers.
constexpr double kMaxDecayTimes = 6;

// Ejection time after the first of consecutive broken attempts; it doubles with
// each further one.
constexpr milliseconds kBaseEjectionTime{250};
constexpr milliseconds kMaxEjectionTime{2000};
// Ejection time after a backend server has rejected a request.
constexpr milliseconds kRejectionEjectionTime{60};

// Exponent with which one wait changes the slowness, time constant of its
// decay, and its bounds.
constexpr double kSlownessExponent = 0.15;
constexpr duration<double> kSlownessDecayTime{5.0};
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 8;
// Added to both waits in the ratio, so that short waits have little weight.
constexpr double kSlownessOffsetMs = 40;

// Added to the cost of backend servers that TwoChoices did not draw.
constexpr double kNotDrawnPenalty = 1e6;

// Largest random increase of the expected wait, as a share of it, so that
// instances with the same view choose different backend servers.
constexpr double kWaitJitter = 0.08;

}  // namespace

void PromptCacheEstimate::Add(const std::vector<PromptPart>& parts) {
  for (const PromptPart& part : parts) {
    const auto known = by_id_.find(part.id);
    if (known != by_id_.end()) {
      entries_.splice(entries_.begin(), entries_, known->second);
      continue;
    }
    entries_.push_front({part.id, part.tokens});
    by_id_[part.id] = entries_.begin();
    used_ += part.tokens;
  }
  while (used_ > capacity_ && !entries_.empty()) {
    used_ -= entries_.back().tokens;
    by_id_.erase(entries_.back().id);
    entries_.pop_back();
  }
}

void PromptCacheEstimate::Clear() {
  entries_.clear();
  by_id_.clear();
  used_ = 0;
}

base::Tokens PromptCacheEstimate::CachedTokens(
    const std::vector<PromptPart>& parts) const {
  base::Tokens cached = 0;
  for (const PromptPart& part : parts) {
    if (by_id_.count(part.id) == 0)
      break;
    cached += part.tokens;
  }
  return cached;
}

void Placement::SetCacheTokens(const base::ServiceId& service,
                               base::Tokens tokens) {
  cache_tokens_[service] = tokens;
}

Placement::State& Placement::StateOf(const BackendEntry& backend) {
  State& state = states_[backend.id];
  const bool is_known = !state.service.empty();
  if (is_known && state.incarnation != backend.incarnation) {
    // The server restarted under the same id: only attempts in progress count.
    const int in_flight = state.in_flight;
    const base::Tokens pending_prefill_tokens = state.pending_prefill_tokens;
    state = State();
    state.in_flight = in_flight;
    state.pending_prefill_tokens = pending_prefill_tokens;
  }
  if (state.service.empty()) {
    state.service = backend.service;
    state.zone = backend.zone;
    state.incarnation = backend.incarnation;
    state.id_hash = base::StableHash(backend.id.value());
    const auto cache = cache_tokens_.find(backend.service);
    // Half of it, since running requests use the same memory.
    state.cached_prompts.SetCapacity(
        cache == cache_tokens_.end() ? 0 : cache->second / 2);
  }
  return state;
}

Placement::State* Placement::FindState(const BackendEntry& backend) {
  const auto found = states_.find(backend.id);
  if (found == states_.end() || found->second.service.empty())
    return &StateOf(backend);
  return found->second.incarnation == backend.incarnation ? &found->second
                                                          : nullptr;
}

void Placement::OnSent(const BackendEntry& backend,
                       const ModelRequest* model,
                       base::Tokens uncached_tokens,
                       base::MonoTime) {
  State& state = StateOf(backend);
  ++state.sent_since_report;
  ++state.in_flight;
  state.pending_prefill_tokens += uncached_tokens;
  if (model != nullptr)
    state.cached_prompts.Add(model->parts);
}

void Placement::OnPromptDropped(const base::BackendId& backend,
                                base::Tokens uncached_tokens) {
  State& state = states_[backend];
  state.pending_prefill_tokens =
      std::max<base::Tokens>(0, state.pending_prefill_tokens - uncached_tokens);
}

void Placement::OnFirstEvent(const BackendEntry& backend,
                             base::Tokens uncached_tokens,
                             milliseconds waited,
                             milliseconds expected,
                             base::MonoTime now) {
  OnPromptDropped(backend.id, uncached_tokens);
  State* const found = FindState(backend);
  if (found == nullptr)
    return;
  State& state = *found;
  state.last_received_at = now;
  const double ratio =
      (static_cast<double>(waited.count()) + kSlownessOffsetMs) /
      (static_cast<double>(expected.count()) + kSlownessOffsetMs);
  state.slowness =
      std::clamp(Slowness(state, now) * std::pow(ratio, kSlownessExponent),
                 kMinSlowness, kMaxSlowness);
  state.slowness_updated_at = now;
}

double Placement::Slowness(const State& state, base::MonoTime now) const {
  const duration<double> age = now - state.slowness_updated_at;
  if (age > kMaxDecayTimes * kSlownessDecayTime)
    return 1;
  return std::pow(state.slowness, std::exp(-age / kSlownessDecayTime));
}

void Placement::OnEnded(const BackendEntry& backend,
                        AttemptEnd end,
                        base::MonoTime now) {
  State& state = states_[backend.id];
  state.in_flight = std::max(0, state.in_flight - 1);
  if (FindState(backend) == nullptr)
    return;
  switch (end) {
    case AttemptEnd::kAbandoned:
      return;
    case AttemptEnd::kRejected:
      state.ejected_until =
          std::max(state.ejected_until, now + kRejectionEjectionTime);
      return;
    case AttemptEnd::kAnswered:
      state.consecutive_failures = 0;
      break;
    case AttemptEnd::kFailed:
      break;
    case AttemptEnd::kBroken: {
      const int doublings = std::min(state.consecutive_failures, 3);
      state.ejected_until =
          now +
          std::min(kMaxEjectionTime, kBaseEjectionTime * (1 << doublings));
      ++state.consecutive_failures;
      state.cached_prompts.Clear();
      break;
    }
  }
  const double share = FailureShare(state, now);
  const double failed = end == AttemptEnd::kAnswered ? 0 : 1;
  state.failure_share = share + kFailureSmoothing * (failed - share);
  state.failure_updated_at = now;
}

double Placement::FailureShare(const State& state, base::MonoTime now) const {
  const duration<double> age = now - state.failure_updated_at;
  if (age > kMaxDecayTimes * kFailureDecayTime)
    return 0;
  return state.failure_share * std::exp(-age / kFailureDecayTime);
}

void Placement::OnLoad(const BackendEntry& backend,
                       const ResponseMetadata::Load& load,
                       base::MonoTime now) {
  State* const found = FindState(backend);
  if (found == nullptr)
    return;
  State& state = *found;
  state.other_in_flight =
      std::max(0, load.running + load.waiting - state.in_flight);
  state.reported_waiting = load.waiting;
  state.load_reported_at = now;
  state.sent_since_report = 0;
}

void Placement::OnBytesReceived(const base::BackendId& backend,
                                base::MonoTime now) {
  states_[backend].last_received_at = now;
}

void Placement::Remove(const base::BackendId& backend) {
  const auto found = states_.find(backend);
  if (found != states_.end() && found->second.in_flight == 0)
    states_.erase(found);
}

int Placement::InFlight(const base::BackendId& backend) const {
  const auto found = states_.find(backend);
  return found == states_.end() ? 0 : found->second.in_flight;
}

BackendLoad Placement::LoadOf(const base::BackendId& backend,
                              base::MonoTime now) const {
  const auto found = states_.find(backend);
  if (found == states_.end())
    return {};
  const State& state = found->second;
  const bool is_fresh = state.load_reported_at != base::MonoTime() &&
                        now - state.load_reported_at <= kLoadReportFreshTime;
  return {state.in_flight + (is_fresh ? state.other_in_flight : 0),
          is_fresh ? state.sent_since_report : 0};
}

int Placement::InFlightAt(const base::ServiceId& service) const {
  int in_flight = 0;
  for (const auto& [id, state] : states_) {
    if (state.service == service)
      in_flight += state.in_flight;
  }
  return in_flight;
}

int Placement::InFlightIn(const base::ZoneId& zone) const {
  int in_flight = 0;
  for (const auto& [id, state] : states_) {
    if (state.zone == zone)
      in_flight += state.in_flight;
  }
  return in_flight;
}

base::MonoTime Placement::LastReceivedAt(const base::BackendId& backend) const {
  const auto found = states_.find(backend);
  return found == states_.end() ? base::MonoTime()
                                : found->second.last_received_at;
}

double Placement::ExpectedWaitMs(const BackendEntry& backend,
                                 const State& state,
                                 const PlacementRequest& request,
                                 base::Tokens uncached,
                                 base::MonoTime now) const {
  const double age = duration<double>(now - state.load_reported_at) /
                     duration<double>(kLoadReportFreshTime);
  const double freshness = std::clamp(2 - age, 0.0, 1.0);
  const double other_in_flight = freshness * state.other_in_flight;
  const double in_flight = state.in_flight + other_in_flight;
  const double slots = std::max(1, backend.slots);
  double wait = 0;
  if (request.model != nullptr) {
    wait = static_cast<double>(state.pending_prefill_tokens + uncached) /
               kPrefillTokensPerMs +
           kFullBatchWaitMs * in_flight / slots +
           kQueuedRequestWaitMs * freshness * state.reported_waiting +
           kQueuedRequestWaitMs * std::max(0.0, in_flight - slots);
  } else {
    wait = kPlainServiceTimeMs * (1 + std::max(0.0, in_flight + 1 - slots)) +
           kPlainServiceTimeMs * 0.5 * in_flight / slots;
  }
  wait *= Slowness(state, now);
  if (backend.zone != request.zone)
    wait += kCrossZoneRoundTripMs;
  if (backend.remaining_warm_up.count() > 0)
    wait *= 1.5;
  return wait;
}

Placement::SharedPrompt Placement::FindSharedPrompt(
    const std::vector<Candidate>& candidates,
    const PlacementRequest& request) {
  SharedPrompt shared;
  if (request.model == nullptr || request.model->parts.size() < 2)
    return shared;
  const std::vector<PromptPart>& parts = request.model->parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    shared.tokens += parts[i].tokens;
  shared.key = parts[parts.size() - 2].id;
  const std::uint64_t key_hash = base::StableHash(shared.key);
  std::uint64_t highest = 0;
  for (const Candidate& candidate : candidates) {
    const std::uint64_t rank =
        base::CombineHashes(key_hash, candidate.state->id_hash);
    if (shared.home == nullptr || rank > highest) {
      shared.home = candidate.backend;
      highest = rank;
    }
  }
  return shared;
}

double Placement::PrefillCost(const BackendEntry& backend,
                              const State& state,
                              const PlacementRequest& request,
                              const SharedPrompt& shared) const {
  if (shared.tokens == 0 || &backend == shared.home)
    return 0;
  const base::Tokens cached = std::min(
      shared.tokens, state.cached_prompts.CachedTokens(request.model->parts));
  double cost =
      kPrefillCostPerToken * static_cast<double>(shared.tokens - cached);
  // Cross-zone traffic so far is credited to a copy in this zone.
  const auto transferred = cross_zone_bytes_.find(shared.key);
  if (backend.zone == request.zone && transferred != cross_zone_bytes_.end())
    cost -= transferred->second;
  return std::max(0.0, cost);
}

double Placement::PrefillDelayCost(const State& state,
                                   base::Tokens uncached,
                                   double late_risk,
                                   double objective_ms) {
  const double delay_ms = static_cast<double>(uncached) / kPrefillTokensPerMs;
  const double others = state.in_flight + state.other_in_flight;
  return std::min(1.0, late_risk) * others * delay_ms * kLateCost /
         ((1 - kRisklessObjectiveShare) * objective_ms);
}

void Placement::RecordCrossZoneTraffic(const PlacementChoice& choice,
                                       const PlacementRequest& request,
                                       const SharedPrompt& shared) {
  if (shared.tokens == 0)
    return;
  if (choice.backend->zone == request.zone) {
    if (!choice.is_home)
      cross_zone_bytes_.erase(shared.key);
    return;
  }
  if (cross_zone_bytes_.size() >= kMaxTrackedPrompts)
    cross_zone_bytes_.clear();
  cross_zone_bytes_[shared.key] += static_cast<double>(request.bytes);
}

double Placement::ComputeCost(const PlacementChoice& choice,
                              const State& state,
                              const PlacementRequest& request,
                              const SharedPrompt& shared,
                              double wait_ms,
                              const std::array<const BackendEntry*, 2>& drawn,
                              base::MonoTime now) {
  const auto by_cost = [&](const ByCost&) {
    const double objective = std::max<double>(
        1, static_cast<double>(request.latency_objective.count()));
    const double late_risk =
        std::clamp((wait_ms / objective - kRisklessObjectiveShare) /
                       (1 - kRisklessObjectiveShare),
                   0.0, kMaxLateRisk);
    return kLateCost * late_risk + kWaitCostPerMs * wait_ms +
           PrefillCost(*choice.backend, state, request, shared) +
           PrefillDelayCost(state, choice.uncached_tokens, late_risk,
                            objective) +
           kFailureCost * FailureShare(state, now) +
           (choice.backend->zone == request.zone
                ? 0
                : static_cast<double>(request.bytes));
  };
  std::uniform_real_distribution<double> unit_interval;
  return std::visit(
      base::Overloaded{
          by_cost, [&](const RandomChoice&) { return unit_interval(random_); },
          [&](const TwoChoices&) {
            const bool is_drawn =
                choice.backend == drawn[0] || choice.backend == drawn[1];
            return (is_drawn ? 0 : kNotDrawnPenalty) + choice.in_flight +
                   unit_interval(random_);
          },
          [&](const LeastInFlight&) {
            return choice.in_flight + unit_interval(random_);
          },
          [&](const PromptAffinity&) {
            return choice.is_home ? -1
                                  : choice.in_flight + unit_interval(random_);
          }},
      policy_);
}

std::optional<PlacementChoice> Placement::Choose(
    const std::vector<const BackendEntry*>& usable,
    const PlacementRequest& request,
    base::MonoTime now) {
  std::vector<Candidate> candidates;
  candidates.reserve(usable.size());
  for (const BackendEntry* backend : usable)
    candidates.push_back({backend, &StateOf(*backend)});
  const SharedPrompt shared = FindSharedPrompt(candidates, request);
  std::uniform_real_distribution<double> jitter(1, 1 + kWaitJitter);
  std::array<const BackendEntry*, 2> drawn{};
  if (std::holds_alternative<TwoChoices>(policy_) && !usable.empty()) {
    for (const BackendEntry*& backend : drawn)
      backend = usable[random_() % usable.size()];
  }
  std::optional<PlacementChoice> best;
  double best_cost = 0;
  // Ejected backend servers are used if there is no other.
  for (const bool skip_ejected : {true, false}) {
    for (const auto& [backend, state_of_backend] : candidates) {
      const State& state = *state_of_backend;
      if (request.excluded.count(backend->id) != 0 ||
          (skip_ejected && now < state.ejected_until) ||
          state.in_flight >= request.max_in_flight)
        continue;
      PlacementChoice choice;
      choice.backend = backend;
      choice.is_home = backend == shared.home;
      choice.in_flight = state.in_flight;
      if (request.model != nullptr) {
        base::Tokens cached =
            state.cached_prompts.CachedTokens(request.model->parts);
        if (choice.is_home)
          cached = std::max(cached, shared.tokens);
        choice.uncached_tokens =
            std::max<base::Tokens>(1, request.model->prompt_tokens - cached);
      }
      const double wait =
          jitter(random_) *
          ExpectedWaitMs(*backend, state, request, choice.uncached_tokens, now);
      choice.expected_wait = milliseconds(static_cast<std::int64_t>(wait));
      if (state.load_reported_at != base::MonoTime()) {
        choice.load_age = std::chrono::duration_cast<milliseconds>(
            now - state.load_reported_at);
      }
      const double cost =
          ComputeCost(choice, state, request, shared, wait, drawn, now);
      if (!best || cost < best_cost) {
        best = choice;
        best_cost = cost;
      }
    }
    if (best)
      break;
  }
  if (best)
    RecordCrossZoneTraffic(*best, request, shared);
  return best;
}

}  // namespace dandelionmill::gateway
