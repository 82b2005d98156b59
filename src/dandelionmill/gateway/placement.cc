#include "dandelionmill/gateway/placement.h"

#include <algorithm>
#include <cmath>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/base/overloaded.h"

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

// Wait for the way to another availability zone and back.
constexpr double kOtherZoneMs = 16;

// Costs are in bytes between zones, the unit that the users price. Their site
// files price 1,000 tokens of a shared part that is read again like 47 kB
// between regions, and a request of ordinary worth that comes late like 200 kB.
constexpr double kReadAgainPerToken = 47;
constexpr double kLateCost = 200e3;
constexpr double kFailureCost = 250e3;
// Waiting costs a little even when the answer is in time, since it makes
// others wait.
constexpr double kWaitCostPerMs = 20;

// Part of the latency objective up to which an answer is surely in time, and
// the most that a late one counts.
constexpr double kSafePart = 0.4;
constexpr double kMaxLateRisk = 6;

// Shared prompts whose distance is remembered.
constexpr std::size_t kMaxDistances = 8192;

// How long a reported load counts in full; it fades over as long again.
constexpr milliseconds kLoadFresh{1500};

// Over which time failures are forgotten.
constexpr duration<double> kFailureMemory{4.0};
// Weight of one more outcome in the failure share.
constexpr double kFailureWeight = 0.2;

constexpr milliseconds kFirstAvoid{250};
constexpr milliseconds kMaxAvoid{2000};
// Pause after a backend server said that it is full.
constexpr milliseconds kFullPause{60};

// How much one wait changes the slowness, how fast that fades, and its bounds.
constexpr double kSlownessWeight = 0.15;
constexpr duration<double> kSlownessMemory{5.0};
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 8;
// Added to both waits that are compared, so that short ones weigh little.
constexpr double kSlownessFloorMs = 40;

// Added to the count of requests at a backend server that OfTwo did not draw.
constexpr double kNotDrawn = 1e6;

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
  const bool is_known = !state.service.empty();
  if (is_known && state.incarnation != backend.incarnation) {
    // A new life under the same id: only what is still under way goes on.
    const int in_flight = state.in_flight;
    const base::Tokens unread = state.unread_tokens;
    state = State();
    state.in_flight = in_flight;
    state.unread_tokens = unread;
  }
  if (state.service.empty()) {
    state.service = backend.service;
    state.incarnation = backend.incarnation;
    const auto cache = cache_tokens_.find(backend.service);
    // Half: running requests need the same memory.
    state.prompts.SetCapacity(cache == cache_tokens_.end() ? 0
                                                           : cache->second / 2);
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
                             milliseconds expected,
                             base::MonoTime now) {
  OnPromptDropped(backend, uncached_tokens);
  State& state = states_[backend];
  state.alive_at = now;
  const double ratio =
      (static_cast<double>(waited.count()) + kSlownessFloorMs) /
      (static_cast<double>(expected.count()) + kSlownessFloorMs);
  state.slowness =
      std::clamp(Slowness(state, now) * std::pow(ratio, kSlownessWeight),
                 kMinSlowness, kMaxSlowness);
  state.slowness_at = now;
}

double Placement::Slowness(const State& state, base::MonoTime now) const {
  const duration<double> age = now - state.slowness_at;
  return std::pow(state.slowness, std::exp(-age / kSlownessMemory));
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
      state.avoid_until =
          now + std::min(kMaxAvoid, kFirstAvoid * (1 << doubled));
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
  wait *= Slowness(state, now);
  if (backend.zone != request.zone)
    wait += kOtherZoneMs;
  if (backend.warm_up_left.count() > 0)
    wait *= 1.5;
  return wait;
}

Placement::SharedPrompt Placement::FindShared(
    const std::vector<const BackendEntry*>& usable,
    const PlacementRequest& request) const {
  SharedPrompt shared;
  if (request.model == nullptr || request.model->parts.size() < 2)
    return shared;
  const std::vector<PromptPart>& parts = request.model->parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    shared.tokens += parts[i].tokens;
  shared.key = parts[parts.size() - 2].id;
  std::uint64_t highest = 0;
  for (const BackendEntry* backend : usable) {
    const std::uint64_t rank =
        base::StableHash(shared.key + "/" + backend->id.value());
    if (shared.home == nullptr || rank > highest) {
      shared.home = backend;
      highest = rank;
    }
  }
  return shared;
}

double Placement::ReadAgainCost(const BackendEntry& backend,
                                const State& state,
                                const PlacementRequest& request,
                                const SharedPrompt& shared) const {
  if (shared.tokens == 0 || &backend == shared.home)
    return 0;
  const base::Tokens cached =
      std::min(shared.tokens, state.prompts.CachedTokens(request.model->parts));
  double cost =
      kReadAgainPerToken * static_cast<double>(shared.tokens - cached);
  // A copy in the own zone has been paid for by the traffic that it saves.
  const auto paid = distance_paid_.find(shared.key);
  if (backend.zone == request.zone && paid != distance_paid_.end())
    cost -= paid->second;
  return std::max(0.0, cost);
}

double Placement::DelayCost(const State& state,
                            base::Tokens uncached,
                            double late,
                            double objective_ms) {
  const double delay_ms = static_cast<double>(uncached) / kPromptTokensPerMs;
  const double others = state.in_flight + state.foreign_in_flight;
  return std::min(1.0, late) * others * delay_ms * kLateCost /
         ((1 - kSafePart) * objective_ms);
}

void Placement::ChargeDistance(const PlacementChoice& choice,
                               const PlacementRequest& request,
                               const SharedPrompt& shared) {
  if (shared.tokens == 0)
    return;
  if (choice.backend->zone == request.zone) {
    if (!choice.is_home)
      distance_paid_.erase(shared.key);
    return;
  }
  if (distance_paid_.size() >= kMaxDistances)
    distance_paid_.clear();
  distance_paid_[shared.key] += static_cast<double>(request.bytes);
}

double Placement::CostOf(const PlacementChoice& choice,
                         const State& state,
                         const PlacementRequest& request,
                         const SharedPrompt& shared,
                         double wait_ms,
                         const std::array<const BackendEntry*, 2>& drawn,
                         base::MonoTime now) {
  const auto by_cost = [&](const ByCost&) {
    const double objective = std::max<double>(
        1, static_cast<double>(request.latency_objective.count()));
    const double late = std::clamp(
        (wait_ms / objective - kSafePart) / (1 - kSafePart), 0.0, kMaxLateRisk);
    return kLateCost * late + kWaitCostPerMs * wait_ms +
           ReadAgainCost(*choice.backend, state, request, shared) +
           DelayCost(state, choice.uncached_tokens, late, objective) +
           kFailureCost * FailureShare(state, now) +
           (choice.backend->zone == request.zone
                ? 0
                : static_cast<double>(request.bytes));
  };
  std::uniform_real_distribution<double> any;
  return std::visit(
      base::Overloaded{
          by_cost, [&](const AtRandom&) { return any(random_); },
          [&](const OfTwo&) {
            const bool is_drawn =
                choice.backend == drawn[0] || choice.backend == drawn[1];
            return (is_drawn ? 0 : kNotDrawn) + choice.in_flight + any(random_);
          },
          [&](const LeastInFlight&) { return choice.in_flight + any(random_); },
          [&](const AtHome&) {
            return choice.is_home ? -1 : choice.in_flight + any(random_);
          }},
      policy_);
}

std::optional<PlacementChoice> Placement::Choose(
    const std::vector<const BackendEntry*>& usable,
    const PlacementRequest& request,
    base::MonoTime now) {
  const SharedPrompt shared = FindShared(usable, request);
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  std::array<const BackendEntry*, 2> drawn{};
  if (std::holds_alternative<OfTwo>(policy_) && !usable.empty()) {
    for (const BackendEntry*& backend : drawn)
      backend = usable[random_() % usable.size()];
  }
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
      PlacementChoice choice;
      choice.backend = backend;
      choice.is_home = backend == shared.home;
      choice.in_flight = state.in_flight;
      if (request.model != nullptr) {
        base::Tokens cached = state.prompts.CachedTokens(request.model->parts);
        if (choice.is_home)
          cached = std::max(cached, shared.tokens);
        choice.uncached_tokens =
            std::max<base::Tokens>(1, request.model->prompt_tokens - cached);
      }
      const double wait =
          jitter(random_) *
          ExpectedWaitMs(*backend, state, request, choice.uncached_tokens, now);
      choice.expected_wait = milliseconds(static_cast<std::int64_t>(wait));
      if (state.load_at != base::MonoTime()) {
        choice.load_age =
            std::chrono::duration_cast<milliseconds>(now - state.load_at);
      }
      const double cost =
          CostOf(choice, state, request, shared, wait, drawn, now);
      if (!best || cost < best_cost) {
        best = choice;
        best_cost = cost;
      }
    }
    if (best)
      break;
  }
  if (best)
    ChargeDistance(*best, request, shared);
  return best;
}

}  // namespace dandelionmill::gateway
