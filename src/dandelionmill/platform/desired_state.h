#ifndef SRC_DANDELIONMILL_PLATFORM_DESIRED_STATE_H_
#define SRC_DANDELIONMILL_PLATFORM_DESIRED_STATE_H_

#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/fleet_config.h"

namespace dandelionmill::platform {

// Decodes the operator's desired state from its JSON text. Fails with
// kBadInventory naming the field, so that the version before stays in force.
base::Result<gateway::FleetConfigPtr> DecodeDesiredState(
    const std::string& json);

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_DESIRED_STATE_H_
