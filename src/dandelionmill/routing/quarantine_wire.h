#ifndef SRC_DANDELIONMILL_ROUTING_QUARANTINE_WIRE_H_
#define SRC_DANDELIONMILL_ROUTING_QUARANTINE_WIRE_H_

#include "dandelionmill/base/units.h"
#include "dandelionmill/routing/quarantine_table.h"

namespace dandelionmill::wire {
class Quarantine;
}  // namespace dandelionmill::wire

namespace dandelionmill::routing {

// Convert between records and messages. A message holds the remaining time in
// milliseconds instead of the expiry time; ToRecord() clamps it to 0..24 h.
wire::Quarantine ToMessage(const QuarantineRecord& record, base::MonoTime now);
QuarantineRecord ToRecord(const wire::Quarantine& message, base::MonoTime now);

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_QUARANTINE_WIRE_H_
