#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_ENTRY_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/ids.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::gateway {

// A backend server's entry in the registry.
struct BackendEntry {
  base::BackendId id;
  base::ServiceId service;
  net::Address address;
  base::ZoneId zone;
  // Requests that it serves concurrently.
  int slots = 1;
  bool draining = false;
  // Version of its software; empty when not reported.
  std::string software_version;
  // Changes when the server restarts under the same id; 0 when not reported.
  std::int64_t incarnation = 0;
  // The registry is known up to this time not to have listed the incarnation;
  // the epoch if it was in the first read. Set by the directory.
  base::BootTime unlisted_until{};
  // Number of changes of the entry since the server's start.
  std::uint64_t change_count = 0;
  // Remaining time for which it is slow after its start.
  std::chrono::milliseconds remaining_warm_up{0};
};

// What is known of the load of a backend server.
struct BackendLoad {
  // Requests in flight of this instance and, by a recent load report, of the
  // others.
  int in_flight = 0;
  // Requests that this instance has sent since that report; 0 if there is none.
  int sent_since = 0;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_ENTRY_H_
