#ifndef SRC_DANDELIONMILL_GATEWAY_RETRY_ALLOWANCE_H_
#define SRC_DANDELIONMILL_GATEWAY_RETRY_ALLOWANCE_H_

#include <chrono>
#include <deque>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Keeps this instance's part of the extra attempts that the fleet may make for
// one service: in every window a share of the requests and a fixed number,
// which the instances divide evenly. Pure.
class RetryAllowance {
 public:
  struct Limits {
    // Extra attempts for each request.
    double ratio = 0.2;
    // Extra attempts of the whole fleet in a window beside these.
    double reserve = 50;
    std::chrono::milliseconds window{10000};
  };

  // Part of the limit that is used: instances do not see the same windows, and
  // the fleet may be smaller than it seems.
  static constexpr double kUsedPart = 0.75;

  explicit RetryAllowance(const Limits& limits) : limits_(limits) {}

  // Commands.
  void OnRequest(base::MonoTime now);
  // Takes one extra attempt. Returns false, and takes none, when none is left.
  // `instances` is the number of instances that share the limit.
  bool TryTake(int instances, base::MonoTime now);

  // Query.
  // Extra attempts made in the window that ends now.
  int TakenWithin(base::MonoTime now) const;

 private:
  // Counts of one tenth of a window.
  struct Slice {
    base::MonoTime begin;
    int requests = 0;
    int taken = 0;
  };

  Slice& Current(base::MonoTime now);

  const Limits limits_;
  std::deque<Slice> slices_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_RETRY_ALLOWANCE_H_
