#include "dandelionmill/gateway/placement.h"

#include <algorithm>
#include <cmath>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

// Prompt tokens that a model engine reads in a millisecond; the site files name
// 55 and 112.
constexpr double kPromptTokensPerMs = 70;

// Wait at a model engine whose slots are all taken, for its longer steps.
constexpr double kFullBatchMs = 250;

// Wait behind each request that a model engine has not admitted.
constexpr double kWaitingMs = 40;

// Time of a plain service's request, for the queue in front of it.
constexpr double kPlainWorkMs = 40;

// Cost of leaving the availability zone: the way there and back between
// regions, and the price of the traffic.
constexpr double kOtherZoneMs = 45;

// How long a reported load counts in full; it fades over as long again.
constexpr milliseconds kLoadFresh{1500};

// Over which time failures are forgotten.
constexpr duration<double> kFailureMemory{4.0};
// Weight of one more outcome in the failure share.
constexpr double kFailureWeight = 0.2;
// Cost of an expected failure: about the latency objective of a plain service.
constexpr double kFailureMs = 600;

constexpr milliseconds kFirstAvoid{250};
constexpr milliseconds kMaxAvoid{2000};
// Pause after a backend server said that it is full.
constexpr milliseconds kFullPause{60};

// Weight of one more wait in the slowness, and its bounds.
constexpr double kSlownessWeight = 0.1;
constexpr double kMaxSlowness = 8;

// Preference for the backend server that all instances would choose for a
// prompt, in prompt tokens, so that equal prompts meet without talking.
constexpr double kAffinityShare = 0.7;

// Random part of the cost, so that instances with the same view spread out.
constexpr double kJitter = 0.08;

}  // namespace

void PromptMemory::Remember(const std::vector<PromptPart>& parts) {
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

void PromptMemory::Clear() {
  entries_.clear();
  by_id_.clear();
  used_ = 0;
}

base::Tokens PromptMemory::CachedTokens(
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
  if (state.service.empty() || state.incarnation != backend.incarnation) {
    const int in_flight = state.in_flight;
    const base::Tokens unread = state.unread_tokens;
    state = State();
    state.in_flight = in_flight;
    state.unread_tokens = unread;
    state.service = backend.service;
    state.incarnation = backend.incarnation;
    const auto cache = cache_tokens_.find(backend.service);
    // Half: running requests need the same memory.
    state.prompts.SetCapacity(
        cache == cache_tokens_.end() ? 0 : cache->second / 2);
  }
  return state;
}

void Placement::OnSent(const BackendEntry& backend,
                       const ModelTerms* model,
                       base::Tokens uncached_tokens,
                       base::MonoTime) {
  State& state = StateOf(backend);
  ++state.in_flight;
  state.unread_tokens += uncached_tokens;
  if (model != nullptr)
    state.prompts.Remember(model->parts);
}

void Placement::OnPromptDropped(const base::BackendId& backend,
                                base::Tokens uncached_tokens) {
  State& state = states_[backend];
  state.unread_tokens =
      std::max<base::Tokens>(0, state.unread_tokens - uncached_tokens);
}

void Placement::OnFirstEvent(const base::BackendId& backend,
                             base::Tokens uncached_tokens,
                             milliseconds waited,
                             base::MonoTime now) {
  OnPromptDropped(backend, uncached_tokens);
  State& state = states_[backend];
  state.alive_at = now;
  const double expected =
      50 + static_cast<double>(uncached_tokens) / kPromptTokensPerMs;
  const double ratio = std::clamp(
      static_cast<double>(waited.count()) / expected, 0.5, kMaxSlowness);
  state.slowness += kSlownessWeight * (ratio - state.slowness);
}

void Placement::OnEnded(const base::BackendId& backend,
                        AttemptEnd end,
                        base::MonoTime now) {
  State& state = states_[backend];
  state.in_flight = std::max(0, state.in_flight - 1);
  switch (end) {
    case AttemptEnd::kAbandoned:
      return;
    case AttemptEnd::kRejected:
      state.avoid_until = std::max(state.avoid_until, now + kFullPause);
      return;
    case AttemptEnd::kAnswered:
      state.failures_in_a_row = 0;
      break;
    case AttemptEnd::kFailed:
      break;
    case AttemptEnd::kBroken: {
      const int doubled = std::min(state.failures_in_a_row, 3);
      state.avoid_until = now + std::min(kMaxAvoid, kFirstAvoid * (1 << doubled));
      ++state.failures_in_a_row;
      state.prompts.Clear();
      break;
    }
  }
  const double share = FailureShare(state, now);
  const double outcome = end == AttemptEnd::kAnswered ? 0 : 1;
  state.failure_share = share + kFailureWeight * (outcome - share);
  state.failure_at = now;
}

double Placement::FailureShare(const State& state, base::MonoTime now) const {
  const duration<double> age = now - state.failure_at;
  return state.failure_share * std::exp(-age / kFailureMemory);
}

void Placement::OnLoad(const base::BackendId& backend,
                       const AnswerTerms::Load& load,
                       base::MonoTime now) {
  State& state = states_[backend];
  state.foreign_in_flight =
      std::max(0, load.running + load.waiting - state.in_flight);
  state.foreign_waiting = load.waiting;
  state.load_at = now;
}

void Placement::OnAlive(const base::BackendId& backend, base::MonoTime now) {
  states_[backend].alive_at = now;
}

void Placement::Forget(const base::BackendId& backend) {
  const auto found = states_.find(backend);
  if (found != states_.end() && found->second.in_flight == 0)
    states_.erase(found);
}

int Placement::InFlight(const base::BackendId& backend) const {
  const auto found = states_.find(backend);
  return found == states_.end() ? 0 : found->second.in_flight;
}

base::MonoTime Placement::LastAlive(const base::BackendId& backend) const {
  const auto found = states_.find(backend);
  return found == states_.end() ? base::MonoTime() : found->second.alive_at;
}

double Placement::ExpectedWaitMs(const BackendEntry& backend,
                                 const State& state,
                                 const PlacementRequest& request,
                                 base::Tokens uncached,
                                 base::MonoTime now) const {
  const double age =
      duration<double>(now - state.load_at) / duration<double>(kLoadFresh);
  const double freshness = std::clamp(2 - age, 0.0, 1.0);
  const double foreign = freshness * state.foreign_in_flight;
  const double in_flight = state.in_flight + foreign;
  const double slots = std::max(1, backend.slots);
  double wait = 0;
  if (request.model != nullptr) {
    wait = static_cast<double>(state.unread_tokens + uncached) /
               kPromptTokensPerMs +
           kFullBatchMs * in_flight / slots +
           kWaitingMs * freshness * state.foreign_waiting +
           kWaitingMs * std::max(0.0, in_flight - slots);
  } else {
    wait = kPlainWorkMs * (1 + std::max(0.0, in_flight + 1 - slots)) +
           kPlainWorkMs * 0.5 * in_flight / slots;
  }
  wait *= state.slowness;
  if (backend.warm_up_left.count() > 0)
    wait *= 1.5;
  return wait;
}

std::optional<PlacementChoice> Placement::Choose(
    const std::vector<const BackendEntry*>& usable,
    const PlacementRequest& request,
    base::MonoTime now) {
  // The part that most identifies what other requests share with this one.
  const PromptPart* shared = nullptr;
  if (request.model != nullptr && !request.model->parts.empty()) {
    const auto& parts = request.model->parts;
    shared = parts.size() > 1 ? &parts[parts.size() - 2] : &parts.back();
  }
  const BackendEntry* preferred = nullptr;
  if (shared != nullptr) {
    std::uint64_t highest = 0;
    for (const BackendEntry* backend : usable) {
      const std::uint64_t weight =
          base::StableHash(shared->id + "/" + backend->id.value());
      if (backend->zone == request.zone &&
          (preferred == nullptr || weight > highest)) {
        preferred = backend;
        highest = weight;
      }
    }
  }
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  std::optional<PlacementChoice> best;
  double best_cost = 0;
  // Backend servers under avoidance are used when there is no other.
  for (const bool avoiding : {true, false}) {
    for (const BackendEntry* backend : usable) {
      State& state = StateOf(*backend);
      if (request.excluded.count(backend->id) != 0 ||
          (avoiding && now < state.avoid_until) ||
          state.in_flight >= request.max_in_flight)
        continue;
      base::Tokens uncached = 0;
      double affinity = 0;
      if (request.model != nullptr) {
        uncached = std::max<base::Tokens>(
            1, request.model->prompt_tokens -
                   state.prompts.CachedTokens(request.model->parts));
        if (backend == preferred)
          affinity = kAffinityShare * static_cast<double>(shared->tokens) /
                     kPromptTokensPerMs;
      }
      const double wait =
          ExpectedWaitMs(*backend, state, request, uncached, now);
      const double cost = jitter(random_) * wait - affinity +
                          kFailureMs * FailureShare(state, now) +
                          (backend->zone == request.zone ? 0 : kOtherZoneMs);
      if (!best || cost < best_cost) {
        best = PlacementChoice{
            backend, milliseconds(static_cast<std::int64_t>(wait)), uncached};
        best_cost = cost;
      }
    }
    if (best)
      break;
  }
  return best;
}

}  // namespace dandelionmill::gateway
