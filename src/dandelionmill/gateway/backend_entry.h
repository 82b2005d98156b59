#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_ENTRY_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::gateway {

// What a backend server says of itself in the registry.
struct BackendEntry {
  base::BackendId id;
  base::ServiceId service;
  net::Address address;
  base::ZoneId zone;
  // Requests that it serves at a time.
  int slots = 1;
  bool draining = false;
  // Tells a restart under the same id; 0 when it does not say.
  std::int64_t incarnation = 0;
  // How much longer it is slow after its start.
  std::chrono::milliseconds warm_up_left{0};
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_ENTRY_H_
