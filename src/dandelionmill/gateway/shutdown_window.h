#ifndef SRC_DANDELIONMILL_GATEWAY_SHUTDOWN_WINDOW_H_
#define SRC_DANDELIONMILL_GATEWAY_SHUTDOWN_WINDOW_H_

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Decides which requests an instance accepts while it shuts down. By default
// all requests are accepted.
struct ShutdownWindow {
  // Every request is accepted until this time, since callers may not know yet
  // that the instance is shutting down.
  base::MonoTime last_new_request_at = base::MonoTime::max();
  // When requests still in progress are failed.
  base::MonoTime ends_at = base::MonoTime::max();

  // Returns a window in which no request is accepted.
  static ShutdownWindow Closed() {
    return {base::MonoTime::min(), base::MonoTime::min()};
  }

  // Whether a request is accepted. After last_new_request_at its deadline must
  // not be later than ends_at, or its response would be truncated.
  bool Admits(base::MonoTime arrived_at, base::MonoTime deadline) const {
    return arrived_at <= last_new_request_at || deadline <= ends_at;
  }
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_SHUTDOWN_WINDOW_H_
