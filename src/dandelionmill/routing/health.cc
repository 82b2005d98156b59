#include "dandelionmill/routing/health.h"

#include <algorithm>
#include <cmath>

namespace dandelionmill::routing {

void Health::OnSuccess(base::MonoTime now) {
  failures_ = 0;
  if (!ejected_) {
    if (now - slow_start_at_ > kMaxEjection)
      ejections_ = 0;
    return;
  }
  // Only the probe counts for a slow server: other requests were sent before
  // the ejection.
  if (slow_ && !probing_)
    return;
  probing_ = false;
  ejected_ = false;
  slow_ = false;
  BeginSlowStart(now);
}

void Health::OnFailure(bool down, base::MonoTime now) {
  ++failures_;
  const bool failed_probe = ejected_ && probing_;
  probing_ = false;
  if (failed_probe || (!ejected_ && (down || failures_ >= kFailuresToEject)))
    Eject(false, now);
}

void Health::EjectAsSlow(base::MonoTime now) {
  first_event.Reset();
  run_per_token.Reset();
  Eject(true, now);
}

void Health::Eject(bool slow, base::MonoTime now) {
  const int doublings = std::min(ejections_, 5);
  ejected_ = true;
  slow_ = slow;
  ejected_until_ =
      now + std::min(kMinEjection * (1 << doublings), kMaxEjection);
  ++ejections_;
}

void Health::OnReport(base::MonoTime now) {
  failed_reports_ = 0;
  last_report_failed_ = false;
  // A load report proves that a server is up again, but only a request can
  // prove that a slow server has recovered.
  if (!ejected_ || slow_ || now < ejected_until_)
    return;
  ejected_ = false;
  probing_ = false;
  failures_ = 0;
  BeginSlowStart(now);
}

void Health::OnReportFailed(base::MonoTime now) {
  last_report_failed_ = true;
  if (++failed_reports_ >= kFailedReportsToEject && !ejected_)
    Eject(false, now);
}

bool Health::IsProbeDue(base::MonoTime now) const {
  return ejected_ && !probing_ && !last_report_failed_ && now >= ejected_until_;
}

int Health::AllowedSlots(int slots, base::MonoTime now) const {
  if (!slow_starting_ || now >= slow_start_at_ + kSlowStartDuration)
    return slots;
  const double fraction = std::chrono::duration<double>(now - slow_start_at_) /
                          std::chrono::duration<double>(kSlowStartDuration);
  return std::max(1, static_cast<int>(std::ceil(slots * fraction)));
}

}  // namespace dandelionmill::routing
