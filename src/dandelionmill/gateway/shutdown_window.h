#ifndef SRC_DANDELIONMILL_GATEWAY_SHUTDOWN_WINDOW_H_
#define SRC_DANDELIONMILL_GATEWAY_SHUTDOWN_WINDOW_H_

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Which requests an instance takes while it shuts down. The default takes
// every request.
struct ShutdownWindow {
  // Until then every request is taken, since callers may not know yet that the
  // instance leaves.
  base::MonoTime last_new_request = base::MonoTime::max();
  // When answers under way are ended.
  base::MonoTime ends_at = base::MonoTime::max();

  // Whether a request that arrived at `begun` is taken. A later one must end,
  // by its deadline, before the process does, or it would be cut.
  bool Admits(base::MonoTime begun, base::MonoTime deadline) const {
    return begun <= last_new_request || deadline <= ends_at;
  }
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_SHUTDOWN_WINDOW_H_
