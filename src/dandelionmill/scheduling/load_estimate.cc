#include "dandelionmill/scheduling/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace dandelionmill::scheduling {
namespace {

using std::chrono::duration;

// Time constant of the mean load of a service. An instance receives tens of
// reports in this time, and the load changes over several seconds.
constexpr duration<double> kFleetMemory{0.5};

// Time from sending a request until a report that counts it can arrive: a round
// trip between availability zones (16 ms) and some time in the server.
constexpr std::chrono::milliseconds kReportTransit{25};

// Upper bound of the reported requests per slot, so that a single wrong report
// does not determine the mean of a service.
constexpr double kMaxOthersPerSlot = 8;

// Adds `value` to the mean of `count` values, which have lost weight since.
void AddToMean(double value, double kept, double& mean, double& count) {
  count = count * kept + 1;
  mean += (value - mean) / count;
}

// Weight of `reports` against a prior, after `age_s` since the last one: the
// reports count 1 / (1 + (age / memory)^2) of their number. It takes no call of
// a library function, as it is computed for each backend server in each
// decision.
double Weight(double reports,
              double prior_reports,
              double age_s,
              duration<double> memory) {
  const double share = age_s / memory.count();
  return reports / (reports + prior_reports * (1 + share * share));
}

}  // namespace

void FleetLoad::Add(double others_per_slot, base::MonoTime now) {
  const double kept =
      updated_at_ == base::MonoTime()
          ? 0
          : std::exp(-duration<double>(now - updated_at_) / kFleetMemory);
  AddToMean(others_per_slot, kept, others_per_slot_, weight_);
  updated_at_ = now;
}

void LoadEstimate::OnSent(base::MonoTime now) {
  sent_at_[next_sent_] = now;
  next_sent_ = (next_sent_ + 1) % sent_at_.size();
}

int LoadEstimate::CountSentInTransit(base::MonoTime now) const {
  return static_cast<int>(
      std::count_if(sent_at_.begin(), sent_at_.end(), [now](base::MonoTime at) {
        return at != base::MonoTime() && now - at < kReportTransit;
      }));
}

void LoadEstimate::OnReport(const LoadReport& report,
                            int own_in_flight,
                            const LoadEstimateOptions& options,
                            FleetLoad& fleet,
                            base::MonoTime now) {
  const int own =
      own_in_flight - (options.corrects_own ? CountSentInTransit(now) : 0);
  const double slots = std::max(1, report.slots);
  const double others = report.running + report.waiting - std::max(0, own);
  const double others_per_slot =
      std::clamp(others / slots, 0.0, kMaxOthersPerSlot);
  fleet.Add(others_per_slot, now);
  const double deviation =
      others_per_slot - (options.uses_fleet_mean ? fleet.others_per_slot() : 0);
  const duration<double> age = now - reported_at_;
  const auto kept = [&](duration<double> memory) {
    return has_report() ? std::exp(-age / memory) : 0;
  };
  AddToMean(deviation, kept(options.load_memory), others_deviation_,
            load_reports_);
  waiting_ = std::min<double>(report.waiting, kMaxOthersPerSlot * slots);
  AddToMean(std::clamp(report.work_time, kMinWorkTime, kMaxWorkTime),
            kept(options.work_time_memory), work_time_, work_time_reports_);
  slots_ = report.slots;
  reported_at_ = now;
}

TrustedLoad LoadEstimate::Compute(const LoadEstimateOptions& options,
                                  const FleetLoad& fleet,
                                  int slots,
                                  base::MonoTime now) const {
  TrustedLoad load;
  load.slots = slots_ > 0 ? slots_ : slots;
  double others_per_slot =
      options.uses_fleet_mean ? fleet.others_per_slot() : 0;
  if (has_report()) {
    const double age_s = duration<double>(now - reported_at_).count();
    const double weight =
        std::min(options.max_load_weight,
                 Weight(load_reports_, options.load_prior_reports, age_s,
                        options.load_memory));
    others_per_slot += weight * others_deviation_;
    load.waiting = weight * waiting_;
    load.work_time +=
        (work_time_ - 1) * Weight(work_time_reports_,
                                  options.work_time_prior_reports, age_s,
                                  options.work_time_memory);
  }
  load.others = std::max(0.0, others_per_slot) * load.slots;
  return load;
}

}  // namespace dandelionmill::scheduling
