#ifndef SRC_DANDELIONMILL_ROUTER_ROUTER_SETTINGS_H_
#define SRC_DANDELIONMILL_ROUTER_ROUTER_SETTINGS_H_

#include "dandelionmill/settings/schema.h"

namespace dandelionmill::router {

// Every setting of dandelion-router.
settings::Schema RouterSchema();

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_ROUTER_SETTINGS_H_
