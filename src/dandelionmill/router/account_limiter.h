#ifndef SRC_DANDELIONMILL_ROUTER_ACCOUNT_LIMITER_H_
#define SRC_DANDELIONMILL_ROUTER_ACCOUNT_LIMITER_H_

#include <chrono>
#include <map>
#include <optional>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/inventory.h"

namespace dandelionmill::router {

// Enforces each client account's request rate, by a token bucket with a burst
// of one second, and its limit of concurrent requests. Does no I/O and is not
// thread-safe.
class AccountLimiter {
 public:
  // Admits a request, or returns how long the caller should wait before it
  // retries. The rate limit applies to the whole zone and is divided evenly
  // among `routers_in_zone` (at least 1).
  std::optional<std::chrono::milliseconds> Admit(
      const base::AccountId& account,
      const inventory::AccountLimits& limits,
      int routers_in_zone,
      base::MonoTime now);

  // Must be called when an admitted request has ended.
  void Release(const base::AccountId& account);

  // Removes accounts that have no running request and whose bucket has had time
  // to refill.
  void RemoveIdle(base::MonoTime now);

  std::size_t accounts() const { return accounts_.size(); }

 private:
  struct State {
    double tokens = 0;
    base::MonoTime refilled_at;
    int running = 0;
    bool initialized = false;
  };

  std::map<base::AccountId, State> accounts_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_ACCOUNT_LIMITER_H_
