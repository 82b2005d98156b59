#ifndef SRC_DANDELIONMILL_GATEWAY_STANDSTILL_DETECTOR_H_
#define SRC_DANDELIONMILL_GATEWAY_STANDSTILL_DETECTOR_H_

#include <chrono>

#include "dandelionmill/base/boot_clock.h"

namespace dandelionmill::gateway {

// Notices when the process has not run for a while, since it was stopped or its
// machine suspended. What is read right afterwards may have arrived long
// before. Pure.
class StandstillDetector {
 public:
  // Time without a tick that counts as a standstill. Shorter than a backend
  // server needs to start again.
  static constexpr std::chrono::milliseconds kMinStandstill{900};
  // How long after a standstill what is read may have arrived during it.
  static constexpr std::chrono::milliseconds kBacklogTime{1000};

  // Command. Call every few hundred milliseconds.
  void Tick(base::BootTime now) {
    if (IsStandstill(now))
      last_end_ = now;
    last_tick_ = now;
  }

  // Query. Whether what is read now may have arrived before or during a
  // standstill.
  bool MayBeBehind(base::BootTime now) const {
    return IsStandstill(now) ||
           (last_end_ != base::BootTime() && now - last_end_ < kBacklogTime);
  }

 private:
  bool IsStandstill(base::BootTime now) const {
    return last_tick_ != base::BootTime() && now - last_tick_ >= kMinStandstill;
  }

  base::BootTime last_tick_{};
  base::BootTime last_end_{};
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_STANDSTILL_DETECTOR_H_
