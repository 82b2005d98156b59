#ifndef SRC_DANDELIONMILL_CONTROL_CONTROL_ACTOR_H_
#define SRC_DANDELIONMILL_CONTROL_CONTROL_ACTOR_H_

#include <caf/all.hpp>

#include <functional>
#include <memory>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/control/context.h"
#include "dandelionmill/control/module.h"
#include "dandelionmill/wire/bus.h"

namespace dandelionmill::control {

inline constexpr std::chrono::milliseconds kTickPeriod{50};

// Messages to the control actor.
struct BusMessage {
  wire::Route from;
  std::shared_ptr<const wire::Envelope> envelope;
};
struct Tick {
  base::MonoTime now;
};
// Runs a function on the control thread.
struct Task {
  std::function<void()> run;
};
struct Leave {};
// The reply is the state as JSON text.
struct DumpRequest {};
// The reply is whether the process may exit.
struct DrainedRequest {};

// The state of a control process: the shared context and the modules. Used on
// the control thread only, which is the thread of the control actor.
class ControlState {
 public:
  ControlState(Context context, wire::PendingCalls& calls);
  ~ControlState();

  Context& context() { return context_; }
  void Add(std::unique_ptr<Module> module);

  void OnMessage(const BusMessage& message);
  void OnTick(base::MonoTime now);
  void OnLeave();
  bool IsDrained() const;
  std::string Dump() const;

 private:
  void NotifyConfigChange();

  Context context_;
  wire::PendingCalls& calls_;
  std::vector<std::unique_ptr<Module>> modules_;
  base::ConfigVersion notified_version_ = 0;
};

// Returns the behavior of the actor that owns `state`.
caf::behavior ControlActor(caf::event_based_actor* self,
                           std::shared_ptr<ControlState> state);

}  // namespace dandelionmill::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::control::BusMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::control::Tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::control::Task)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::control::Leave)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::control::DumpRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(dandelionmill::control::DrainedRequest)

#endif  // SRC_DANDELIONMILL_CONTROL_CONTROL_ACTOR_H_
