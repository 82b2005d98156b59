#ifndef SRC_DANDELIONMILL_GATEWAY_PARTITION_DETECTOR_H_
#define SRC_DANDELIONMILL_GATEWAY_PARTITION_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"

namespace dandelionmill::gateway {

// Judges from attempts to open connections whether this instance is partitioned
// from all backend servers of a service. Open connections do not count: they
// may live on while new ones are refused. Pure.
class PartitionDetector {
 public:
  // Backend servers that must be unreachable, if the service has that many.
  // Fewer may have crashed or been suspended at the same time.
  static constexpr std::size_t kMinUnreachable = 3;
  // How long a failed attempt counts.
  static constexpr std::chrono::milliseconds kFailureLifetime{2000};
  // Shortest time between two checks of a service.
  static constexpr std::chrono::milliseconds kCheckInterval{500};

  // Commands.
  // A connection to a backend server of the service was opened over the links
  // of this instance. Returns whether a partition has ended.
  bool OnConnected(const base::ServiceId& service);
  // An attempt to open one failed. `listed` is the number of backend servers of
  // the service. Returns whether a partition has begun.
  bool OnConnectFailed(const BackendEntry& backend,
                       std::size_t listed,
                       base::MonoTime now);
  // Returns whether connections should be opened now to learn more, and takes
  // note of that.
  bool TryBeginCheck(const base::ServiceId& service, base::MonoTime now);

  // Queries.
  bool IsPartitioned(const base::ServiceId& service) const;
  // Returns the services from whose backend servers the instance is
  // partitioned.
  std::set<base::ServiceId> PartitionedServices() const;

 private:
  struct State {
    // Backend servers that could not be reached since the last connection was
    // opened, and when.
    std::map<base::BackendId, base::MonoTime> failures;
    base::MonoTime last_check{};
    bool is_partitioned = false;
  };

  std::map<base::ServiceId, State> states_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PARTITION_DETECTOR_H_
