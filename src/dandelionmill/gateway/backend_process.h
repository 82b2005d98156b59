#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_PROCESS_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_PROCESS_H_

#include <cstdint>
#include <optional>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/stream_versions.h"

namespace dandelionmill::gateway {

// The process of a backend server at the other end of a connection. The
// registry may still have listed an earlier process when the connection was
// opened, so the listed incarnation alone does not identify it.
struct BackendProcess {
  // The incarnation that the registry listed for the connection.
  std::int64_t listed = 0;
  // The incarnation that the process has reported on the connection, if any.
  std::optional<std::int64_t> reported;
  // When the connection was established.
  base::BootTime connected_at{};
  // The address to which it was opened.
  net::Address address;

  bool IsSameAs(const BackendProcess& other) const {
    return listed == other.listed && reported == other.reported;
  }
  // Whether the entry is that of the process, or an earlier one that the
  // registry lists in its place.
  bool IsOf(const BackendEntry& entry) const {
    return entry.incarnation == listed || entry.incarnation == reported;
  }
  // The same, or whether the entry may be that of the process: it has its
  // address and was first listed too soon after the connection was opened to be
  // that of a later one for certain.
  bool MayBeOf(const BackendEntry& entry) const {
    return IsOf(entry) || (!reported && entry.address == address &&
                           entry.unlisted_until <
                               connected_at + StreamVersions::kMaxListingDelay);
  }
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_PROCESS_H_
