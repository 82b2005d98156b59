#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_REQUEST_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_REQUEST_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/request_metadata.h"
#include "dandelionmill/scheduling/load_estimate.h"

namespace dandelionmill::gateway {

// The properties of a request that placement depends on.
struct PlacementRequest {
  base::ZoneId zone;
  // Set for model engines.
  const ModelRequest* model = nullptr;
  // Backend servers that must not be chosen, since they have been tried.
  std::set<base::BackendId> excluded;
  // Largest number of requests from this instance to one backend server, so
  // that its connection limit is kept.
  int max_in_flight = 1 << 20;
  // Longest wait for which the response counts as on time.
  std::chrono::milliseconds latency_objective{1000};
  // Bytes of the request plus the estimated bytes of its response.
  std::size_t bytes = 0;
};

struct PlacementChoice {
  const BackendEntry* backend = nullptr;
  // Expected time to the response or to the first event of a stream.
  std::chrono::milliseconds expected_wait{0};
  // Estimated prompt tokens that are not cached and need prefill.
  base::Tokens uncached_tokens = 0;
  // Whether `backend` is the home of the shared prompt, which all instances
  // prefer.
  bool is_home = false;

  // Inputs of the decision, for logs: requests in flight from this instance,
  // and the age of the load report; not set if there has been no report.
  int in_flight = 0;
  std::optional<std::chrono::milliseconds> load_age;
  // The load that was assumed by reports with a work time; not set without.
  std::optional<scheduling::TrustedLoad> load;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PLACEMENT_REQUEST_H_
