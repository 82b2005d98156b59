#include "bench/placement/report_variants.h"

#include <utility>

namespace bench::placement {
namespace {

using dandelionmill::gateway::LoadReportUse;
using std::chrono::duration;

LoadReportUse Ignore() {
  LoadReportUse use;
  use.is_enabled = false;
  return use;
}

// The last report counts fully, whatever its age, as its figures stand.
LoadReportUse TrustFully() {
  LoadReportUse use;
  use.estimate.load_memory = duration<double>(1e-6);
  use.estimate.work_time_memory = duration<double>(1e-6);
  use.estimate.load_prior_reports = 0;
  use.estimate.work_time_prior_reports = 0;
  use.estimate.max_load_weight = 1;
  use.estimate.uses_fleet_mean = false;
  use.estimate.corrects_own = false;
  use.home_objective_share = 0;
  return use;
}

// The mean of recent reports, with a weight that decays with age.
LoadReportUse Decay(double load_memory_s) {
  const LoadReportUse product;
  LoadReportUse use = TrustFully();
  use.estimate.load_memory = duration<double>(load_memory_s);
  use.estimate.work_time_memory = product.estimate.work_time_memory;
  use.estimate.load_prior_reports = product.estimate.load_prior_reports;
  use.estimate.work_time_prior_reports =
      product.estimate.work_time_prior_reports;
  return use;
}

LoadReportUse CorrectOwn(LoadReportUse use) {
  use.estimate.corrects_own = true;
  return use;
}

LoadReportUse AssumeMean(LoadReportUse use) {
  use.estimate.uses_fleet_mean = true;
  return use;
}

LoadReportUse KeepHome(LoadReportUse use, double objective_share) {
  use.home_objective_share = objective_share;
  return use;
}

// Power of two choices among the backend servers of nearly the lowest cost.
LoadReportUse DrawTwo(LoadReportUse use) {
  use.drawn_within_cost = 4000;
  return use;
}

LoadReportUse KeepSmallPrompts(LoadReportUse use) {
  use.min_kept_tokens = 0;
  return use;
}

LoadReportUse IgnoreWorkTime(LoadReportUse use) {
  use.estimate.work_time_prior_reports = 1e9;
  return use;
}

// Only the work time is used, not the counts.
LoadReportUse IgnoreCounts(LoadReportUse use) {
  use.estimate.max_load_weight = 0;
  return use;
}

const std::vector<std::pair<std::string, LoadReportUse>>& Variants() {
  static const LoadReportUse product;
  static const LoadReportUse mean = AssumeMean(CorrectOwn(Decay(15)));
  static const std::vector<std::pair<std::string, LoadReportUse>> variants = {
      {"ignored", Ignore()},
      {"three_figures", Ignore()},
      {"full", TrustFully()},
      {"work_time_only", IgnoreCounts(Decay(15))},
      {"decay_1s", Decay(1)},
      {"decay_4s", Decay(4)},
      {"decay_15s", Decay(15)},
      {"own", CorrectOwn(Decay(15))},
      {"mean", mean},
      {"mean_two", DrawTwo(mean)},
      {"mean_home", KeepHome(mean, 1)},
      {"mean_home_long", KeepHome(mean, 1.5)},
      {"product", product},
      {"product_two", DrawTwo(product)},
      {"product_small", KeepSmallPrompts(product)},
      {"product_no_work_time", IgnoreWorkTime(product)},
      {"product_no_counts", IgnoreCounts(product)}};
  return variants;
}

}  // namespace

const std::vector<std::string>& ReportVariantNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> list;
    for (const auto& [name, use] : Variants())
      list.push_back(name);
    return list;
  }();
  return names;
}

dandelionmill::base::Result<LoadReportUse> FindReportVariant(
    const std::string& name) {
  for (const auto& [known, use] : Variants()) {
    if (known == name)
      return use;
  }
  return dandelionmill::base::Error{
      dandelionmill::base::Code::kBadCommandLine,
      "use of load reports \"" + name + "\" is not known"};
}

}  // namespace bench::placement
