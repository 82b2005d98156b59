#ifndef SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_
#define SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_

#include <chrono>
#include <cstdint>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Detects when the load of this instance exceeds its network link or its share
// of the processor, so that callers should use another instance. Pure.
class OverloadDetector {
 public:
  // `link_bits_per_s` is the rate of the instance's link in each direction; 0
  // if unknown.
  explicit OverloadDetector(double link_bits_per_s)
      : link_bits_per_s_(link_bits_per_s) {}

  // Commands.
  void OnReceived(std::size_t bytes) { received_bytes_ += bytes; }
  void OnSent(std::size_t bytes) { sent_bytes_ += bytes; }
  // Call every `period`. The delay of the call shows the load of the processor.
  void Tick(base::MonoTime now, std::chrono::milliseconds period);

  // Queries.
  bool is_overloaded() const { return is_overloaded_; }
  // Utilization of the link in the busier direction, from 0 to 1, as an
  // exponential moving average.
  double link_use() const { return link_use_; }

 private:
  const double link_bits_per_s_;
  std::uint64_t received_bytes_ = 0;
  std::uint64_t sent_bytes_ = 0;
  base::MonoTime last_tick_{};
  double link_use_ = 0;
  int consecutive_late_ticks_ = 0;
  bool is_overloaded_ = false;
  base::MonoTime recovering_since_{};
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_
