#ifndef SRC_DANDELIONMILL_GATEWAY_RETRY_ALLOWANCE_H_
#define SRC_DANDELIONMILL_GATEWAY_RETRY_ALLOWANCE_H_

#include <chrono>
#include <deque>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Limits the extra attempts that this instance makes for one service. In every
// window the fleet may make a share of the requests plus a fixed number, which
// the instances divide evenly. Pure.
class RetryAllowance {
 public:
  struct Limits {
    // Extra attempts per request.
    double ratio = 0.2;
    // Additional extra attempts of the whole fleet per window.
    double reserve = 50;
    std::chrono::milliseconds window{10000};
  };

  // Share of the limit that is used, since the windows of the instances are not
  // aligned and the fleet may be smaller than the count of instances.
  static constexpr double kUsableShare = 0.75;

  explicit RetryAllowance(const Limits& limits) : limits_(limits) {}

  // Commands.
  // Counts a request toward the limit.
  void OnRequest(base::MonoTime now);
  // Takes one extra attempt. Returns false and takes none if the limit is
  // reached. `instances` is the number of instances that share the limit.
  bool TryTake(int instances, base::MonoTime now);

  // Query.
  // Extra attempts taken in the window that ends at `now`.
  int TakenWithin(base::MonoTime now) const;

 private:
  // Counters of one tenth of a window.
  struct Slice {
    base::MonoTime begin;
    int requests = 0;
    int taken = 0;
  };

  Slice& CurrentSlice(base::MonoTime now);

  const Limits limits_;
  std::deque<Slice> slices_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_RETRY_ALLOWANCE_H_
