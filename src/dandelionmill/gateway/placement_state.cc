#include "dandelionmill/gateway/placement_state.h"

#include <algorithm>
#include <cmath>

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

// Age up to which a load report has full weight; the weight then falls to 0
// over the same time.
constexpr milliseconds kLoadReportFreshTime{1500};

constexpr double kUsualWorkTimePercent = 100;

// A backend server that sends malformed load reports sends one with every
// response.
constexpr std::chrono::seconds kMalformedLoadLogInterval{10};

// Time constant of the exponential decay of the failure share.
constexpr duration<double> kFailureDecayTime{4.0};
// Weight of one outcome in the failure share.
constexpr double kFailureSmoothing = 0.2;

// Time constants after which a decayed value counts as gone. In a large fleet
// an instance knows nothing newer of most backend servers.
constexpr double kMaxDecayTimes = 6;

// Ejection time after the first of consecutive broken attempts; it doubles with
// each further one.
constexpr milliseconds kBaseEjectionTime{250};
constexpr milliseconds kMaxEjectionTime{2000};
// Ejection time after a backend server has rejected a request.
constexpr milliseconds kRejectionEjectionTime{60};

// Exponent with which one wait changes the slowness, time constant of its
// decay, and its bounds.
constexpr double kSlownessExponent = 0.15;
constexpr duration<double> kSlownessDecayTime{5.0};
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 8;
// Added to both waits in the ratio, so that short waits have little weight.
constexpr double kSlownessOffsetMs = 40;

}  // namespace

void PlacementState::OnEnded(AttemptEnd end, base::MonoTime now) {
  switch (end) {
    case AttemptEnd::kAbandoned:
      return;
    case AttemptEnd::kRejected:
      ejected_until = std::max(ejected_until, now + kRejectionEjectionTime);
      return;
    case AttemptEnd::kAnswered:
      consecutive_failures = 0;
      break;
    case AttemptEnd::kFailed:
      break;
    case AttemptEnd::kBroken: {
      const int doublings = std::min(consecutive_failures, 3);
      ejected_until = now + std::min(kMaxEjectionTime,
                                     kBaseEjectionTime * (1 << doublings));
      ++consecutive_failures;
      cached_prompts.Clear();
      break;
    }
  }
  const double share = FailureShare(now);
  const double failed = end == AttemptEnd::kAnswered ? 0 : 1;
  failure_share = share + kFailureSmoothing * (failed - share);
  failure_updated_at = now;
}

void PlacementState::OnFirstEvent(milliseconds waited,
                                  milliseconds expected,
                                  base::MonoTime now) {
  last_received_at = now;
  const double ratio =
      (static_cast<double>(waited.count()) + kSlownessOffsetMs) /
      (static_cast<double>(expected.count()) + kSlownessOffsetMs);
  slowness = std::clamp(Slowness(now) * std::pow(ratio, kSlownessExponent),
                        kMinSlowness, kMaxSlowness);
  slowness_updated_at = now;
}

void PlacementState::OnLoad(const ResponseMetadata::Load& load,
                            const scheduling::LoadEstimateOptions& options,
                            base::MonoTime now) {
  if (load.work_time_percent) {
    load_estimate.OnReport({load.running, load.waiting, load.slots,
                            *load.work_time_percent / kUsualWorkTimePercent},
                           in_flight, options, *fleet_load, now);
    return;
  }
  other_in_flight = std::max(0, load.running + load.waiting - in_flight);
  reported_waiting = load.waiting;
  load_reported_at = now;
  sent_since_report = 0;
}

bool PlacementState::OnMalformedLoad(base::MonoTime now) {
  if (malformed_load_logged_at != base::MonoTime() &&
      now - malformed_load_logged_at < kMalformedLoadLogInterval)
    return false;
  malformed_load_logged_at = now;
  return true;
}

double PlacementState::FailureShare(base::MonoTime now) const {
  const duration<double> age = now - failure_updated_at;
  if (age > kMaxDecayTimes * kFailureDecayTime)
    return 0;
  return failure_share * std::exp(-age / kFailureDecayTime);
}

double PlacementState::Slowness(base::MonoTime now) const {
  const duration<double> age = now - slowness_updated_at;
  if (age > kMaxDecayTimes * kSlownessDecayTime)
    return 1;
  return std::pow(slowness, std::exp(-age / kSlownessDecayTime));
}

double PlacementState::LoadFreshness(base::MonoTime now) const {
  const double age = duration<double>(now - load_reported_at) /
                     duration<double>(kLoadReportFreshTime);
  return std::clamp(2 - age, 0.0, 1.0);
}

BackendLoad PlacementState::Load(base::MonoTime now) const {
  const bool is_fresh = load_reported_at != base::MonoTime() &&
                        now - load_reported_at <= kLoadReportFreshTime;
  return {in_flight + (is_fresh ? other_in_flight : 0),
          is_fresh ? sent_since_report : 0};
}

}  // namespace dandelionmill::gateway
