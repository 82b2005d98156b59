#include "dandelionmill/gateway/overload_detector.h"

#include <algorithm>

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration;

// Part of the link above which queues grow in its bursts, and below which there
// is room again.
constexpr double kBusyLink = 0.6;
constexpr double kCalmLink = 0.35;

// Weight of one more tick in the mean.
constexpr double kTickWeight = 0.3;

// How late a tick must be, and how often in a row, to show a busy processor.
constexpr std::chrono::milliseconds kLateTick{120};
constexpr int kLateTicks = 3;

// How long all must be calm before new connections are taken again: longer than
// the balancer takes to notice, so that it does not go back and forth.
constexpr std::chrono::milliseconds kCalmTime{3000};

}  // namespace

void OverloadDetector::Tick(base::MonoTime now,
                            std::chrono::milliseconds period) {
  if (last_tick_ == base::MonoTime()) {
    last_tick_ = now;
    return;
  }
  const duration<double> passed = now - last_tick_;
  last_tick_ = now;
  const double bits = 8.0 * static_cast<double>(std::max(received_, sent_));
  received_ = 0;
  sent_ = 0;
  if (link_bits_per_s_ > 0 && passed.count() > 0) {
    const double use = bits / passed.count() / link_bits_per_s_;
    link_use_ += kTickWeight * (use - link_use_);
  }
  late_ticks_ = passed > period + kLateTick ? late_ticks_ + 1 : 0;
  const bool is_busy = link_use_ > kBusyLink || late_ticks_ >= kLateTicks;
  const bool is_calm = link_use_ < kCalmLink && late_ticks_ == 0;
  if (is_busy)
    is_overloaded_ = true;
  if (!is_calm)
    calm_since_ = now;
  else if (now - calm_since_ >= kCalmTime)
    is_overloaded_ = false;
}

}  // namespace dandelionmill::gateway
