#ifndef SRC_DANDELIONMILL_PLATFORM_DESIRED_STATE_H_
#define SRC_DANDELIONMILL_PLATFORM_DESIRED_STATE_H_

#include <optional>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/fleet_config.h"
#include "dandelionmill/scheduling/evacuations.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::platform {

// Decodes the operator's desired state from JSON. Fails with kBadInventory,
// with the offending field in the detail; the caller then keeps the previous
// version.
base::Result<gateway::FleetConfigPtr> DecodeDesiredState(
    const std::string& text);

// Decodes a row of the operator's table that evacuates a zone; returns nothing
// for other rows.
std::optional<scheduling::EvacuationRow> DecodeEvacuationRow(
    const storage::VersionedRow& row);

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_DESIRED_STATE_H_
