#ifndef SRC_DANDELIONMILL_GATEWAY_GATEWAY_SETTINGS_H_
#define SRC_DANDELIONMILL_GATEWAY_GATEWAY_SETTINGS_H_

#include "dandelionmill/settings/schema.h"

namespace dandelionmill::gateway {

// Returns the schema of the gateway's own settings. Addresses and limits come
// from the platform.
settings::Schema GatewaySchema();

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_GATEWAY_SETTINGS_H_
