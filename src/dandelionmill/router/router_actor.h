#ifndef SRC_DANDELIONMILL_ROUTER_ROUTER_ACTOR_H_
#define SRC_DANDELIONMILL_ROUTER_ROUTER_ACTOR_H_

#include <caf/all.hpp>

#include <memory>
#include <vector>

#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/router_state.h"
#include "dandelionmill/wire/bus.h"

namespace dandelionmill::router {

inline constexpr std::chrono::milliseconds kTickPeriod{20};

// Messages to the router actor, in addition to those in request_events.h.
struct BusMessage {
  wire::Route from;
  std::shared_ptr<const wire::Envelope> envelope;
};
struct Tick {};
// The result of polling a backend server; `report` is empty if the poll failed.
struct LoadPollResult {
  base::BackendId backend;
  std::optional<routing::LoadReport> report;
  std::vector<routing::CacheEvent> cache_events;
};
// The router is about to shut down.
struct Leave {};
// Replied to with the state as JSON text.
struct DumpRequest {};
// Replied to with whether the process may end.
struct DrainedRequest {};

// Behaviour of the router actor, which is the only user of `state`.
caf::behavior RouterActor(caf::event_based_actor* self,
                          std::shared_ptr<RouterState> state);

}  // namespace dandelionmill::router

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::BeginRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::PromptCounted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::AttemptEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::CallerDisconnected)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::BusMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::Tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::LoadPollResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::Leave)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::DumpRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::router::DrainedRequest)

#endif  // SRC_DANDELIONMILL_ROUTER_ROUTER_ACTOR_H_
