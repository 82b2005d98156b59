#include "dandelionmill/control/control_actor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/wire/envelope.pb.h"
#include "dandelionmill/wire/pending_calls.h"

namespace dandelionmill::control {

ControlState::ControlState(Context context, wire::PendingCalls& calls)
    : context_(std::move(context)), calls_(calls) {}

ControlState::~ControlState() = default;

void ControlState::Add(std::unique_ptr<Module> module) {
  modules_.push_back(std::move(module));
}

void ControlState::OnMessage(const BusMessage& message) {
  if (message.envelope->in_reply_to() != 0 && calls_.Deliver(*message.envelope))
    return NotifyConfigChange();
  for (const auto& module : modules_)
    module->OnMessage(message.from, *message.envelope);
  NotifyConfigChange();
}

void ControlState::OnTick(base::MonoTime now) {
  calls_.Expire(now);
  for (const auto& module : modules_)
    module->OnTick(now);
  NotifyConfigChange();
}

void ControlState::OnLeave() {
  context_.leaving = true;
  for (const auto& module : modules_)
    module->OnLeave();
}

bool ControlState::IsDrained() const {
  return std::all_of(modules_.begin(), modules_.end(),
                     [](const auto& module) { return module->IsDrained(); });
}

std::string ControlState::Dump() const {
  nlohmann::json dump;
  dump["holder"] = context_.holder.value();
  dump["instance"] = context_.instance.value();
  dump["zone"] = context_.zone.value();
  dump["leaving"] = context_.leaving;
  dump["pending_calls"] = calls_.size();
  dump["config_version"] = context_.config ? context_.config->version() : 0;
  for (const auto& module : modules_)
    module->Dump(dump);
  return dump.dump(2);
}

void ControlState::NotifyConfigChange() {
  if (!context_.config || context_.config->version() == notified_version_)
    return;
  notified_version_ = context_.config->version();
  for (const auto& module : modules_)
    module->OnConfig();
}

caf::behavior ControlActor(caf::event_based_actor*,
                           std::shared_ptr<ControlState> state) {
  return {[state](const BusMessage& message) { state->OnMessage(message); },
          [state](const Tick& tick) { state->OnTick(tick.now); },
          [state](const Task& task) { task.run(); },
          [state](const Leave&) { state->OnLeave(); },
          [state](const DumpRequest&) { return state->Dump(); },
          [state](const DrainedRequest&) { return state->IsDrained(); }};
}

}  // namespace dandelionmill::control
