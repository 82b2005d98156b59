#include "dandelionmill/gateway/placement.h"

#include <algorithm>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::gateway {
namespace {

using std::chrono::milliseconds;

// Largest number of shared prompts whose cross-zone traffic is tracked.
constexpr std::size_t kMaxTrackedPrompts = 8192;

// Added to the cost of backend servers that TwoChoices did not draw.
constexpr double kNotDrawnPenalty = 1e6;

// Largest random increase of the expected wait, as a share of it, so that
// instances with the same view choose different backend servers.
constexpr double kWaitJitter = 0.08;

// Share of recent requests that failed above which a home is not kept for its
// short wait: a home that fails has little to do.
constexpr double kMaxKeptFailureShare = 0.1;

LoadReportUse ReportUseOf(const PlacementPolicy& policy) {
  const auto* by_cost = std::get_if<ByCost>(&policy);
  return by_cost == nullptr ? LoadReportUse() : by_cost->reports;
}

bool IsEligible(const PlacementCandidate& candidate,
                const PlacementRequest& request) {
  return request.excluded.count(candidate.backend.id) == 0 &&
         candidate.state.in_flight < request.max_in_flight;
}

}  // namespace

Placement::Placement(std::uint64_t seed, PlacementPolicy policy)
    : policy_(policy), report_use_(ReportUseOf(policy)), random_(seed) {}

void Placement::SetCacheTokens(const base::ServiceId& service,
                               base::Tokens tokens) {
  cache_tokens_[service] = tokens;
}

PlacementState& Placement::StateOf(const BackendEntry& backend) {
  PlacementState& state = states_[backend.id];
  const bool is_known = !state.service.empty();
  if (is_known && state.incarnation != backend.incarnation) {
    // The server restarted under the same id: only attempts in progress count.
    const int in_flight = state.in_flight;
    const base::Tokens pending_prefill_tokens = state.pending_prefill_tokens;
    const scheduling::InstanceLoad peers = state.peers;
    state = PlacementState();
    state.in_flight = in_flight;
    state.pending_prefill_tokens = pending_prefill_tokens;
    state.peers = peers;
  }
  if (state.service.empty()) {
    state.service = backend.service;
    state.zone = backend.zone;
    state.incarnation = backend.incarnation;
    state.id_hash = base::StableHash(backend.id.value());
    state.fleet_load = &fleet_loads_[backend.service];
    const auto cache = cache_tokens_.find(backend.service);
    // Half of it, since running requests use the same memory.
    state.cached_prompts.SetCapacity(
        cache == cache_tokens_.end() ? 0 : cache->second / 2);
  }
  return state;
}

PlacementState* Placement::FindState(const BackendEntry& backend) {
  const auto found = states_.find(backend.id);
  if (found == states_.end() || found->second.service.empty())
    return &StateOf(backend);
  return found->second.incarnation == backend.incarnation ? &found->second
                                                          : nullptr;
}

void Placement::OnSent(const BackendEntry& backend,
                       const ModelRequest* model,
                       base::Tokens uncached_tokens,
                       base::MonoTime now) {
  PlacementState& state = StateOf(backend);
  ++state.sent_since_report;
  ++state.in_flight;
  state.load_estimate.OnSent(now);
  state.pending_prefill_tokens += uncached_tokens;
  if (model != nullptr)
    state.cached_prompts.Add(model->parts);
}

void Placement::OnPromptDropped(const base::BackendId& backend,
                                base::Tokens uncached_tokens) {
  PlacementState& state = states_[backend];
  state.pending_prefill_tokens =
      std::max<base::Tokens>(0, state.pending_prefill_tokens - uncached_tokens);
}

void Placement::OnFirstEvent(const BackendEntry& backend,
                             base::Tokens uncached_tokens,
                             milliseconds waited,
                             milliseconds expected,
                             base::MonoTime now) {
  OnPromptDropped(backend.id, uncached_tokens);
  if (PlacementState* const state = FindState(backend))
    state->OnFirstEvent(waited, expected, now);
}

void Placement::OnEnded(const BackendEntry& backend,
                        AttemptEnd end,
                        base::MonoTime now) {
  PlacementState& state = states_[backend.id];
  state.in_flight = std::max(0, state.in_flight - 1);
  if (FindState(backend) != nullptr)
    state.OnEnded(end, now);
}

void Placement::OnLoad(const BackendEntry& backend,
                       const ResponseMetadata::Load& load,
                       base::MonoTime now) {
  if (PlacementState* const state = FindState(backend))
    state->OnLoad(load, report_use_.estimate, now);
}

bool Placement::OnMalformedLoad(const BackendEntry& backend,
                                base::MonoTime now) {
  PlacementState* const state = FindState(backend);
  return state != nullptr && state->OnMalformedLoad(now);
}

void Placement::OnBytesReceived(const base::BackendId& backend,
                                base::MonoTime now) {
  states_[backend].last_received_at = now;
}

void Placement::Remove(const base::BackendId& backend) {
  const auto found = states_.find(backend);
  if (found != states_.end() && found->second.in_flight == 0 &&
      found->second.peers.in_flight == 0)
    states_.erase(found);
}

void Placement::OnPeerLoads(
    const std::vector<scheduling::PeerLoads::Change>& changes) {
  for (const scheduling::PeerLoads::Change& change : changes) {
    scheduling::InstanceLoad& peers = states_[change.backend].peers;
    peers.in_flight += change.in_flight;
    peers.pending_prefill_tokens += change.pending_prefill_tokens;
  }
}

std::vector<scheduling::InstanceLoad> Placement::OwnLoads() const {
  std::vector<scheduling::InstanceLoad> loads;
  for (const auto& [id, state] : states_) {
    if (state.in_flight > 0 && state.HasEstimate())
      loads.push_back({id, state.in_flight, state.pending_prefill_tokens});
  }
  return loads;
}

int Placement::InFlight(const base::BackendId& backend) const {
  const auto found = states_.find(backend);
  return found == states_.end() ? 0 : found->second.in_flight;
}

BackendLoad Placement::LoadOf(const base::BackendId& backend,
                              base::MonoTime now) const {
  const auto found = states_.find(backend);
  return found == states_.end() ? BackendLoad() : found->second.Load(now);
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

std::vector<PlacementCandidate> Placement::ListCandidates(
    const std::vector<const BackendEntry*>& usable) {
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(usable.size());
  for (const BackendEntry* backend : usable)
    candidates.push_back({*backend, StateOf(*backend), std::nullopt, 0});
  return candidates;
}

void Placement::Estimate(const PlacementRequest& request,
                         const SharedPrompt& shared,
                         base::MonoTime now,
                         PlacementCandidate& candidate) const {
  const PlacementState& state = candidate.state;
  if (report_use_.is_enabled && state.HasEstimate())
    candidate.load = state.load_estimate.Compute(
        report_use_.estimate, *state.fleet_load, candidate.backend.slots, now);
  if (candidate.load && knows_peers_) {
    candidate.load->others = state.peers.in_flight;
    candidate.load->waiting = 0;
  }
  if (request.model == nullptr)
    return;
  base::Tokens cached = state.cached_prompts.CachedTokens(request.model->parts);
  if (&candidate.backend == shared.home)
    cached = std::max(cached, shared.tokens);
  candidate.uncached =
      std::max<base::Tokens>(1, request.model->prompt_tokens - cached);
}

SharedPrompt Placement::FindSharedPrompt(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request) const {
  SharedPrompt shared;
  if (request.model == nullptr || request.model->parts.size() < 2)
    return shared;
  const std::vector<PromptPart>& parts = request.model->parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    shared.tokens += parts[i].tokens;
  shared.key = parts[parts.size() - 2].id;
  const std::uint64_t key_hash = base::StableHash(shared.key);
  std::uint64_t highest = 0;
  for (const PlacementCandidate& candidate : candidates) {
    const std::uint64_t rank =
        base::CombineHashes(key_hash, candidate.state.id_hash);
    if (shared.home == nullptr || rank > highest) {
      shared.home = &candidate.backend;
      highest = rank;
    }
  }
  const auto transferred = cross_zone_bytes_.find(shared.key);
  if (transferred != cross_zone_bytes_.end())
    shared.cross_zone_bytes = transferred->second;
  return shared;
}

bool Placement::KeepsHome(std::vector<PlacementCandidate>& candidates,
                          const PlacementRequest& request,
                          const SharedPrompt& shared,
                          base::MonoTime now) const {
  if (report_use_.home_objective_share <= 0 || shared.home == nullptr ||
      shared.tokens <= report_use_.min_kept_tokens)
    return false;
  const auto home =
      std::find_if(candidates.begin(), candidates.end(),
                   [&shared](const PlacementCandidate& candidate) {
                     return &candidate.backend == shared.home;
                   });
  Estimate(request, shared, now, *home);
  return home->load && IsEligible(*home, request) &&
         now >= home->state.ejected_until &&
         home->state.FailureShare(now) <= kMaxKeptFailureShare &&
         ExpectedWaitMs(*home, request, now) <=
             report_use_.home_objective_share *
                 static_cast<double>(request.latency_objective.count());
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

double Placement::ComputeCost(const PlacementCandidate& candidate,
                              const PlacementRequest& request,
                              const SharedPrompt& shared,
                              double wait_ms,
                              const std::array<const BackendEntry*, 2>& drawn,
                              base::MonoTime now) {
  std::uniform_real_distribution<double> unit_interval;
  const int in_flight = candidate.state.in_flight;
  return std::visit(
      base::Overloaded{
          [&](const ByCost&) {
            return PlacementCost(candidate, request, shared, wait_ms, now);
          },
          [&](const RandomChoice&) { return unit_interval(random_); },
          [&](const TwoChoices&) {
            const bool is_drawn = &candidate.backend == drawn[0] ||
                                  &candidate.backend == drawn[1];
            return (is_drawn ? 0 : kNotDrawnPenalty) + in_flight +
                   unit_interval(random_);
          },
          [&](const LeastInFlight&) {
            return in_flight + unit_interval(random_);
          },
          [&](const PromptAffinity&) {
            return &candidate.backend == shared.home
                       ? -1
                       : in_flight + unit_interval(random_);
          }},
      policy_);
}

Placement::Evaluation Placement::DrawAmongBest(
    const std::vector<Evaluation>& evaluations,
    const Evaluation& best) {
  std::vector<const Evaluation*> near;
  for (const Evaluation& evaluation : evaluations) {
    if (evaluation.cost <= best.cost + report_use_.drawn_within_cost)
      near.push_back(&evaluation);
  }
  const Evaluation& first = *near[random_() % near.size()];
  const Evaluation& second = *near[random_() % near.size()];
  return first.cost <= second.cost ? first : second;
}

PlacementChoice Placement::MakeChoice(const Evaluation& best,
                                      const SharedPrompt& shared,
                                      base::MonoTime now) const {
  const PlacementCandidate& candidate = *best.candidate;
  const PlacementState& state = candidate.state;
  PlacementChoice choice;
  choice.backend = &candidate.backend;
  choice.expected_wait = milliseconds(static_cast<std::int64_t>(best.wait_ms));
  choice.uncached_tokens = candidate.uncached;
  choice.is_home = choice.backend == shared.home;
  choice.in_flight = state.in_flight;
  choice.load = candidate.load;
  const base::MonoTime reported_at =
      std::max(state.load_reported_at, state.load_estimate.reported_at());
  if (reported_at != base::MonoTime())
    choice.load_age =
        std::chrono::duration_cast<milliseconds>(now - reported_at);
  return choice;
}

std::optional<PlacementChoice> Placement::Choose(
    const std::vector<const BackendEntry*>& usable,
    const PlacementRequest& request,
    base::MonoTime now) {
  std::vector<PlacementCandidate> candidates = ListCandidates(usable);
  const SharedPrompt shared = FindSharedPrompt(candidates, request);
  const bool keeps_home = KeepsHome(candidates, request, shared, now);
  std::uniform_real_distribution<double> jitter(1, 1 + kWaitJitter);
  std::array<const BackendEntry*, 2> drawn{};
  if (std::holds_alternative<TwoChoices>(policy_) && !usable.empty()) {
    for (const BackendEntry*& backend : drawn)
      backend = usable[random_() % usable.size()];
  }
  std::vector<Evaluation> evaluations;
  Evaluation best;
  // Ejected backend servers are used if there is no other.
  for (const bool skip_ejected : {true, false}) {
    for (PlacementCandidate& candidate : candidates) {
      if (!IsEligible(candidate, request) ||
          (skip_ejected && now < candidate.state.ejected_until))
        continue;
      if (keeps_home && PrefillCost(candidate, request, shared) > 0)
        continue;
      Estimate(request, shared, now, candidate);
      const double wait =
          jitter(random_) * ExpectedWaitMs(candidate, request, now);
      const double cost =
          ComputeCost(candidate, request, shared, wait, drawn, now);
      const Evaluation evaluation{&candidate, wait, cost};
      if (candidate.load && report_use_.drawn_within_cost > 0)
        evaluations.push_back(evaluation);
      if (best.candidate == nullptr || cost < best.cost)
        best = evaluation;
    }
    if (best.candidate != nullptr)
      break;
  }
  if (best.candidate == nullptr)
    return std::nullopt;
  if (!evaluations.empty() && best.candidate->load)
    best = DrawAmongBest(evaluations, best);
  const PlacementChoice choice = MakeChoice(best, shared, now);
  RecordCrossZoneTraffic(choice, request, shared);
  return choice;
}

}  // namespace dandelionmill::gateway
