#include "dandelionmill/gateway/brittle_services.h"

#include <algorithm>
#include <iterator>

namespace dandelionmill::gateway {

using std::chrono::duration;

const BrittleServices::State* BrittleServices::Find(
    const base::ServiceId& service,
    base::MonoTime now) const {
  const auto found = states_.find(service);
  return found == states_.end() || now >= found->second.brittle_until
             ? nullptr
             : &found->second;
}

double BrittleServices::LimitOf(const State& state, base::MonoTime now) {
  const duration<double> elapsed = now - state.reduced_at;
  return *state.limit +
         std::max(kMinGrowth, kGrowthShare * *state.limit) * elapsed.count();
}

bool BrittleServices::OnBrittle(const base::ServiceId& service,
                                base::MonoTime now) {
  State& state = states_[service];
  const bool is_new = now >= state.brittle_until;
  if (is_new)
    state = State();
  state.brittle_until = now + kBrittleTime;
  return is_new;
}

void BrittleServices::OnRejected(const BackendEntry& backend,
                                 int in_flight,
                                 base::MonoTime now) {
  if (Find(backend.service, now) == nullptr)
    return;
  State& state = states_[backend.service];
  auto& paused_until = state.paused_until;
  for (auto it = paused_until.begin(); it != paused_until.end();)
    it = it->second <= now ? paused_until.erase(it) : std::next(it);
  paused_until[backend.id] = now + kRejectionPause;
  if (state.limit && now - state.reduced_at < kReductionInterval)
    return;
  const double reached = state.limit
                             ? std::min<double>(in_flight, LimitOf(state, now))
                             : in_flight;
  state.limit = std::max(1.0, kReduction * reached);
  state.reduced_at = now;
}

bool BrittleServices::IsBrittle(const base::ServiceId& service,
                                base::MonoTime now) const {
  return Find(service, now) != nullptr;
}

bool BrittleServices::AdmitsMore(const base::ServiceId& service,
                                 int in_flight,
                                 base::MonoTime now) const {
  const State* state = Find(service, now);
  return state == nullptr || !state->limit ||
         in_flight + 1 <= LimitOf(*state, now);
}

bool BrittleServices::Admits(const BackendEntry& backend,
                             const BackendLoad& load,
                             base::MonoTime now) const {
  const State* state = Find(backend.service, now);
  if (state == nullptr)
    return true;
  const auto paused = state->paused_until.find(backend.id);
  const bool is_paused =
      paused != state->paused_until.end() && now < paused->second;
  const double expected =
      std::min(kMaxExpectedShare * backend.slots,
               static_cast<double>(load.sent_since) * (instances_ - 1));
  return !is_paused && load.in_flight + expected < backend.slots;
}

}  // namespace dandelionmill::gateway
