#ifndef SRC_DANDELIONMILL_CONTROL_CONTEXT_H_
#define SRC_DANDELIONMILL_CONTROL_CONTEXT_H_

#include "dandelionmill/base/ids.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/membership/view.h"

namespace dandelionmill::metrics {
class Registry;
}  // namespace dandelionmill::metrics

namespace dandelionmill::settings {
class Values;
}  // namespace dandelionmill::settings

namespace dandelionmill::wire {
class Bus;
class PendingCalls;
}  // namespace dandelionmill::wire

namespace dandelionmill::control {

class PlatformIo;

// State shared by the modules of one control process. Used on the control
// thread only.
struct Context {
  const settings::Values& settings;
  // Identity of this process and the location of its instance.
  base::HolderId holder;
  base::InstanceId instance;
  base::ZoneId zone;
  base::RegionId region;

  wire::Bus& bus;
  wire::PendingCalls& calls;
  PlatformIo& platform;
  metrics::Registry& metrics;

  // The configuration in force; null until there is one. Written by
  // ConfigModule only.
  inventory::SnapshotPtr config;
  // Written by MembershipModule only.
  membership::View members;
  // Whether the process is shutting down.
  bool leaving = false;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_CONTEXT_H_
