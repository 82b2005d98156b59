#include "dandelionmill/router/account_limiter.h"

#include <algorithm>
#include <cmath>

namespace dandelionmill::router {
namespace {

using std::chrono::milliseconds;

// Retry delay when the connection limit is reached: the time at which a running
// request ends is not known in advance.
constexpr milliseconds kConnectionLimitRetryAfter{1000};
constexpr std::chrono::seconds kIdleTimeout{60};

}  // namespace

std::optional<milliseconds> AccountLimiter::Admit(
    const base::AccountId& account,
    const inventory::AccountLimits& limits,
    int routers_in_zone,
    base::MonoTime now) {
  State& state = accounts_[account];
  if (limits.connections > 0 && state.running >= limits.connections)
    return kConnectionLimitRetryAfter;
  if (limits.requests_per_s > 0) {
    const double rate =
        static_cast<double>(limits.requests_per_s) / routers_in_zone;
    const double burst = std::max(1.0, rate);
    const double elapsed =
        std::chrono::duration<double>(now - state.refilled_at).count();
    state.tokens = state.initialized
                       ? std::min(burst, state.tokens + elapsed * rate)
                       : burst;
    state.refilled_at = now;
    state.initialized = true;
    if (state.tokens < 1)
      return milliseconds(
          static_cast<long>(std::ceil((1 - state.tokens) / rate * 1000)));
    state.tokens -= 1;
  }
  ++state.running;
  return std::nullopt;
}

void AccountLimiter::Release(const base::AccountId& account) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end() && found->second.running > 0)
    --found->second.running;
}

void AccountLimiter::RemoveIdle(base::MonoTime now) {
  for (auto account = accounts_.begin(); account != accounts_.end();) {
    if (account->second.running == 0 &&
        now - account->second.refilled_at > kIdleTimeout)
      account = accounts_.erase(account);
    else
      ++account;
  }
}

}  // namespace dandelionmill::router
