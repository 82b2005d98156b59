#ifndef SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_
#define SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_

#include <chrono>
#include <cstdint>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Tells when this instance has more to do than its network link or its share of
// the processor carries, so that callers are better served by another one.
// Pure.
class OverloadDetector {
 public:
  // `link_bits_per_s` is the rate of the instance's link in each direction; 0
  // when it is not known.
  explicit OverloadDetector(double link_bits_per_s)
      : link_bits_per_s_(link_bits_per_s) {}

  // Commands.
  void OnReceived(std::size_t bytes) { received_ += bytes; }
  void OnSent(std::size_t bytes) { sent_ += bytes; }
  // Call every `period`; `now` tells how late the call comes.
  void Tick(base::MonoTime now, std::chrono::milliseconds period);

  // Queries.
  bool is_overloaded() const { return is_overloaded_; }
  // Part of the link in use, the busier direction, as a decaying mean.
  double link_use() const { return link_use_; }

 private:
  const double link_bits_per_s_;
  std::uint64_t received_ = 0;
  std::uint64_t sent_ = 0;
  base::MonoTime last_tick_{};
  double link_use_ = 0;
  int late_ticks_ = 0;
  bool is_overloaded_ = false;
  base::MonoTime calm_since_{};
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_
