#ifndef SRC_DANDELIONMILL_BASE_BOOT_CLOCK_H_
#define SRC_DANDELIONMILL_BASE_BOOT_CLOCK_H_

#include <time.h>

#include <chrono>

namespace dandelionmill::base {

// A monotonic clock that also advances while the machine is suspended, for time
// limits that other processes count on while this one does not run.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() {
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
  }
};

using BootTime = BootClock::time_point;

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_BOOT_CLOCK_H_
