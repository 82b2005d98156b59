#ifndef SRC_DANDELIONMILL_SCHEDULING_LOAD_ESTIMATE_H_
#define SRC_DANDELIONMILL_SCHEDULING_LOAD_ESTIMATE_H_

#include <array>
#include <chrono>
#include <cstddef>

#include "dandelionmill/base/units.h"

namespace dandelionmill::scheduling {

// What a backend server reports of its load.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // Time that work takes on the machine, as a multiple of the usual time.
  double work_time = 1;
};

struct LoadEstimateOptions {
  // Time constant with which earlier reports lose weight. The load of a server
  // differs from the mean mostly by the prompts that prefer it, which changes
  // slowly, and an instance receives a report only every few seconds.
  std::chrono::duration<double> load_memory{15.0};
  // The same for the work time, whose mean changes slowly.
  std::chrono::duration<double> work_time_memory{20.0};
  // Reports that outweigh the prior: the weight of n of them is
  // n / (n + prior). 0 trusts a single report fully, whatever its age.
  double load_prior_reports = 1;
  double work_time_prior_reports = 4;
  // Upper bound of the weight of the reported counts.
  double max_load_weight = 0.7;
  // Whether servers without a fresh report are assumed to have the mean load
  // of the others rather than none.
  bool uses_fleet_mean = true;
  // Whether requests of this instance that a report cannot include yet are
  // left out when its own requests are subtracted.
  bool corrects_own = true;
};

// The mean load that the backend servers of one service report. Pure.
class FleetLoad {
 public:
  void Add(double others_per_slot, base::MonoTime now);
  // Requests of other instances per slot; 0 before the first report.
  double others_per_slot() const { return others_per_slot_; }
  bool has_report() const { return updated_at_ != base::MonoTime(); }

 private:
  double others_per_slot_ = 0;
  double weight_ = 0;
  base::MonoTime updated_at_{};
};

// What is assumed of a backend server.
struct TrustedLoad {
  // Requests of other instances, running or waiting.
  double others = 0;
  // Requests of any instance that wait for a slot.
  double waiting = 0;
  // Time that work takes, as a multiple of the usual time.
  double work_time = 1;
  double slots = 1;
};

// Estimates the load of one backend server from its reports. A report is out of
// date when it arrives, and the instances that received the same one choose by
// it at the same time. Reports are therefore averaged, lose weight with age,
// and are combined with the mean load of the service. Pure.
class LoadEstimate {
 public:
  // Bounds of the reported and of the estimated work time.
  static constexpr double kMinWorkTime = 0.5;
  static constexpr double kMaxWorkTime = 4;

  // A request of this instance was sent.
  void OnSent(base::MonoTime now);
  // `own_in_flight` are the requests of this instance that have not ended.
  // Updates `fleet` too.
  void OnReport(const LoadReport& report,
                int own_in_flight,
                const LoadEstimateOptions& options,
                FleetLoad& fleet,
                base::MonoTime now);

  bool has_report() const { return reported_at_ != base::MonoTime(); }
  // When the last report arrived; the epoch if there was none.
  base::MonoTime reported_at() const { return reported_at_; }
  // `slots` are those of the registry, used until they are reported.
  TrustedLoad Compute(const LoadEstimateOptions& options,
                      const FleetLoad& fleet,
                      int slots,
                      base::MonoTime now) const;

 private:
  // Requests of this instance that were sent shortly before `now`.
  int CountSentInTransit(base::MonoTime now) const;

  // Deviation of `others` per slot from the mean of the service, which changes
  // less with time than the number itself.
  double others_deviation_ = 0;
  double waiting_ = 0;
  double work_time_ = 1;
  // Reports that the means consist of, decayed by age up to `reported_at_`.
  double load_reports_ = 0;
  double work_time_reports_ = 0;
  int slots_ = 0;
  base::MonoTime reported_at_{};
  // Latest times of sending, as a ring.
  std::array<base::MonoTime, 4> sent_at_{};
  std::size_t next_sent_ = 0;
};

}  // namespace dandelionmill::scheduling

#endif  // SRC_DANDELIONMILL_SCHEDULING_LOAD_ESTIMATE_H_
