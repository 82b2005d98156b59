#ifndef STANDINS_PLATFORM_TOKEN_BUCKET_H_
#define STANDINS_PLATFORM_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "dandelionmill/base/units.h"

namespace standins::platform {

// Rate limiter that allows `per_second` units per second on average and bursts
// of up to one second's worth. Not thread-safe.
class TokenBucket {
 public:
  TokenBucket(double per_second, dandelionmill::base::MonoTime now)
      : per_second_(per_second), available_(per_second), updated_(now) {}

  // Takes `units` and returns true, or returns false and takes nothing if fewer
  // are available.
  bool Take(double units, dandelionmill::base::MonoTime now) {
    const std::chrono::duration<double> elapsed = now - updated_;
    updated_ = now;
    available_ =
        std::min(per_second_, available_ + elapsed.count() * per_second_);
    if (available_ < units)
      return false;
    available_ -= units;
    return true;
  }

 private:
  const double per_second_;
  double available_;
  dandelionmill::base::MonoTime updated_;
};

}  // namespace standins::platform

#endif  // STANDINS_PLATFORM_TOKEN_BUCKET_H_
