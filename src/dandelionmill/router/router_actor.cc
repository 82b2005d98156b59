#include "dandelionmill/router/router_actor.h"

namespace dandelionmill::router {
namespace {

base::MonoTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

caf::behavior RouterActor(caf::event_based_actor*,
                          std::shared_ptr<RouterState> state) {
  return {[state](const BusMessage& message) {
            state->OnMessage(message.from, *message.envelope, Now());
          },
          [state](const Tick&) { state->OnTick(Now()); },
          [state](const BeginRequest& begin) {
            state->OnBeginRequest(begin, Now());
          },
          [state](const PromptCounted& counted) {
            state->OnPromptCounted(counted, Now());
          },
          [state](const AttemptEnded& ended) {
            state->OnAttemptEnded(ended, Now());
          },
          [state](const CallerDisconnected& event) {
            state->OnCallerDisconnected(event, Now());
          },
          [state](const LoadPollResult& polled) {
            state->OnLoad(polled.backend, polled.report, Now());
            if (!polled.cache_events.empty())
              state->OnCacheEvents(polled.backend, polled.cache_events);
          },
          [state](const Leave&) { state->OnLeave(Now()); },
          [state](const DumpRequest&) { return state->Dump(Now()); },
          [state](const DrainedRequest&) { return state->IsDrained(); }};
}

}  // namespace dandelionmill::router
