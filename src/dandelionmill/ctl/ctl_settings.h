#ifndef SRC_DANDELIONMILL_CTL_CTL_SETTINGS_H_
#define SRC_DANDELIONMILL_CTL_CTL_SETTINGS_H_

#include "dandelionmill/settings/schema.h"

namespace dandelionmill::ctl {

// Returns the schema of dandelionctl's settings.
settings::Schema CtlSchema();

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_CTL_SETTINGS_H_
