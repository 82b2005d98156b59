#include "dandelionmill/routing/load_estimate.h"

#include <algorithm>

namespace dandelionmill::routing {

void LoadEstimate::OnSent(base::MonoTime now) {
  ++own_;
  Record(now);
}

void LoadEstimate::OnEnded(base::MonoTime now) {
  own_ = std::max(0, own_ - 1);
  Record(now);
}

void LoadEstimate::Record(base::MonoTime now) {
  changes_.push_back({now, own_});
  // Keeps one change before the window: it gives the count at its start.
  while (changes_.size() > 1 && changes_[1].at + kMaxReportAge < now)
    changes_.pop_front();
}

void LoadEstimate::OnReport(const LoadReport& report, base::MonoTime now) {
  if (report.measured_at > now || report.measured_at + kMaxReportAge < now)
    return;
  if (reported_ && report.measured_at < measured_at_)
    return;
  reported_ = true;
  measured_at_ = report.measured_at;
  others_ =
      std::max(0, report.running + report.waiting - OwnAt(report.measured_at));
}

int LoadEstimate::OwnAt(base::MonoTime time) const {
  const auto later =
      std::find_if(changes_.begin(), changes_.end(),
                   [&](const Change& change) { return change.at > time; });
  if (later == changes_.begin())
    return changes_.empty() ? own_ : 0;
  return std::prev(later)->own;
}

int LoadEstimate::Others(base::MonoTime now) const {
  if (!reported_ || measured_at_ + kMaxReportAge < now)
    return 0;
  return others_;
}

}  // namespace dandelionmill::routing
