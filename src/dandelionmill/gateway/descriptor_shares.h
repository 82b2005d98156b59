#ifndef SRC_DANDELIONMILL_GATEWAY_DESCRIPTOR_SHARES_H_
#define SRC_DANDELIONMILL_GATEWAY_DESCRIPTOR_SHARES_H_

#include <algorithm>
#include <cstddef>

namespace dandelionmill::gateway {

// How many connections of each kind the file descriptors of the machine allow.
struct DescriptorShares {
  // Files, listening sockets, connections to the store and of the status
  // servers.
  static constexpr int kReserved = 200;

  // Half of the rest is for callers. An eighth is for relays, which take two
  // each. What is left, three eighths, is for connections to backend servers.
  explicit DescriptorShares(int file_descriptors)
      : max_callers(Share(file_descriptors, 2)),
        max_relays(Share(file_descriptors, 16)) {}

  std::size_t max_callers;
  std::size_t max_relays;

 private:
  // The machine may report fewer descriptors than are reserved.
  static constexpr int kMinUnreserved = 64;

  static std::size_t Share(int file_descriptors, int divisor) {
    return static_cast<std::size_t>(
        std::max(file_descriptors - kReserved, kMinUnreserved) / divisor);
  }
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_DESCRIPTOR_SHARES_H_
