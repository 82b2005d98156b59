#include "dandelionmill/scheduling/link_admission.h"

#include <algorithm>

namespace dandelionmill::scheduling {
namespace {

using std::chrono::milliseconds;

// Load above which fresh requests are redirected, and growth of their share
// with the load. A refused request has used the link already, so that the share
// grows faster than the excess.
constexpr double kFreshLoad = 0.85;
constexpr double kFreshShareGrowth = 2;
constexpr double kMaxFreshShare = 0.9;

// Load above which further requests are refused, and their largest share, so
// that the estimate of the load can follow.
constexpr double kOtherLoad = 1.25;
constexpr double kReturnedLoad = 2.5;
constexpr double kMaxOtherShare = 0.5;

}  // namespace

CallerHistory HistoryOf(milliseconds timeout, milliseconds remaining_time) {
  const milliseconds spent = timeout - remaining_time;
  if (spent.count() < 0)
    return CallerHistory::kUnknown;
  return spent >= kRedirectDelay ? CallerHistory::kReturned
                                 : CallerHistory::kFresh;
}

double RedirectShare(double link_load, CallerHistory history) {
  if (history == CallerHistory::kFresh) {
    return std::clamp(kFreshShareGrowth * (link_load - kFreshLoad), 0.0,
                      kMaxFreshShare);
  }
  const double bearable =
      history == CallerHistory::kReturned ? kReturnedLoad : kOtherLoad;
  return std::clamp(1 - bearable / std::max(link_load, bearable), 0.0,
                    kMaxOtherShare);
}

}  // namespace dandelionmill::scheduling
