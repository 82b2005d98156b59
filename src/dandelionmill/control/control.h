#ifndef SRC_DANDELIONMILL_CONTROL_CONTROL_H_
#define SRC_DANDELIONMILL_CONTROL_CONTROL_H_

#include <memory>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/daemon/daemon.h"

namespace dandelionmill::settings {
class Values;
}  // namespace dandelionmill::settings

namespace dandelionmill::control {

// A control process: the actor with its modules, the admin server, the bus and
// the threads for calls to the platform. A graceful shutdown takes three steps:
// BeginDrain(), wait until IsDrained() returns true, Stop(). To other
// processes Stop() alone looks like a crash.
class Control : public daemon::Daemon {
 public:
  // `settings`, checked against ControlSchema(), must outlive this object.
  explicit Control(const settings::Values& settings);
  ~Control() override;
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  // Commands.
  // Fails with kBadSetting when an address cannot be bound.
  base::Status Start() override;
  // Reports unhealthy from now on, returns leases and stores charges.
  void BeginDrain() override;
  // Stops and joins all threads.
  void Stop() override;

  // Queries.
  const base::HolderId& holder() const;
  // Whether an operator requested a shutdown over the admin port.
  bool IsShutdownRequested() const override;
  // Whether all leases have been returned and all charges stored.
  bool IsDrained() const override;
  // The state as JSON text, without secrets.
  std::string Dump() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_CONTROL_H_
