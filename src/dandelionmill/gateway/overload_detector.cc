#include "dandelionmill/gateway/overload_detector.h"

#include <algorithm>

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration;

// Link utilization above which bursts make queues grow, and below which the
// overload ends.
constexpr double kOverloadLinkUse = 0.6;
constexpr double kRecoveryLinkUse = 0.35;

// Weight of one tick in the moving average of the link utilization.
constexpr double kLinkUseSmoothing = 0.3;

// Delay of a tick, and number of consecutive ticks that late, that indicate an
// overloaded processor.
constexpr std::chrono::milliseconds kMinTickDelay{120};
constexpr int kOverloadLateTicks = 3;

// How long the load must be below the limits before the overload ends. Longer
// than the balancer takes to notice a change, so that the state does not flap.
constexpr std::chrono::milliseconds kRecoveryTime{3000};

}  // namespace

void OverloadDetector::Tick(base::MonoTime now,
                            std::chrono::milliseconds period) {
  if (last_tick_ == base::MonoTime()) {
    last_tick_ = now;
    return;
  }
  const duration<double> elapsed = now - last_tick_;
  last_tick_ = now;
  const double bits =
      8.0 * static_cast<double>(std::max(received_bytes_, sent_bytes_));
  received_bytes_ = 0;
  sent_bytes_ = 0;
  if (link_bits_per_s_ > 0 && elapsed.count() > 0) {
    const double use = bits / elapsed.count() / link_bits_per_s_;
    link_use_ += kLinkUseSmoothing * (use - link_use_);
  }
  consecutive_late_ticks_ =
      elapsed > period + kMinTickDelay ? consecutive_late_ticks_ + 1 : 0;
  const bool exceeds_limits = link_use_ > kOverloadLinkUse ||
                              consecutive_late_ticks_ >= kOverloadLateTicks;
  const bool is_recovering =
      link_use_ < kRecoveryLinkUse && consecutive_late_ticks_ == 0;
  if (exceeds_limits)
    is_overloaded_ = true;
  if (!is_recovering)
    recovering_since_ = now;
  else if (now - recovering_since_ >= kRecoveryTime)
    is_overloaded_ = false;
}

}  // namespace dandelionmill::gateway
