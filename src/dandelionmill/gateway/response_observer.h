#ifndef SRC_DANDELIONMILL_GATEWAY_RESPONSE_OBSERVER_H_
#define SRC_DANDELIONMILL_GATEWAY_RESPONSE_OBSERVER_H_

#include <functional>

#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/backend_process.h"
#include "dandelionmill/gateway/incarnation_check.h"
#include "dandelionmill/gateway/request_metadata.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {

struct GatewayContext;

// A response to a request that was sent over a connection of this instance, for
// one of its callers or for another instance.
struct ObservedResponse {
  const BackendEntry& backend;
  // The process that responded.
  const BackendProcess& process;
  const ResponseMetadata& metadata;
  // When the backend server was chosen, and when the request was sent.
  base::MonoTime chosen_at{};
  base::MonoTime sent_at{};
};

// Takes note of what the response says about its backend server: load, limits,
// a pause, a rejection, and that it leaves or is brittle. `add_fields` adds the
// fields that identify the request to the lines that log what has changed.
void ObserveResponse(GatewayContext& context,
                     const ObservedResponse& response,
                     const std::function<void(log::Event&)>& add_fields,
                     base::MonoTime now);

// Takes note of the outcome of CheckWarmUp on a connection of this instance.
void NoteWarmUpCheck(GatewayContext& context,
                     const BackendEntry& backend,
                     const IncarnationReport& report);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_RESPONSE_OBSERVER_H_
