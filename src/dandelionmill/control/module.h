#ifndef SRC_DANDELIONMILL_CONTROL_MODULE_H_
#define SRC_DANDELIONMILL_CONTROL_MODULE_H_

#include <nlohmann/json_fwd.hpp>

#include "dandelionmill/base/units.h"

namespace dandelionmill::wire {
class Envelope;
struct Route;
}  // namespace dandelionmill::wire

namespace dandelionmill::control {

// A component of the control process. All calls are made on the control thread,
// so a module needs no locks and must never block.
class Module {
 public:
  virtual ~Module() = default;

  // Called for every message; a module ignores those that it does not handle.
  // Replies expected by PendingCalls are not passed to modules.
  virtual void OnMessage(const wire::Route& from,
                         const wire::Envelope& message) = 0;

  // Called every kTickPeriod.
  virtual void OnTick(base::MonoTime now) = 0;

  // Called when Context::config has changed.
  virtual void OnConfig() {}

  // Called when a graceful shutdown begins: release what other processes could
  // use.
  virtual void OnLeave() {}

  // Returns whether the module has finished all work that must be done before
  // the process exits.
  virtual bool IsDrained() const { return true; }

  // Adds the module's state to `dump`, without secrets.
  virtual void Dump(nlohmann::json& dump) const = 0;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_MODULE_H_
