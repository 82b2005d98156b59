#ifndef SRC_DANDELIONMILL_CONTROL_CONTROL_SETTINGS_H_
#define SRC_DANDELIONMILL_CONTROL_CONTROL_SETTINGS_H_

#include "dandelionmill/settings/schema.h"

namespace dandelionmill::control {

// Returns the schema of all settings of dandelion-control.
settings::Schema ControlSchema();

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_CONTROL_SETTINGS_H_
