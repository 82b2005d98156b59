#ifndef BENCH_PLACEMENT_REPORT_VARIANTS_H_
#define BENCH_PLACEMENT_REPORT_VARIANTS_H_

#include <string>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/placement_policy.h"

namespace bench::placement {

// Ways to use load reports with a work time, which the emulator ranks. With
// "three_figures" servers leave the work time out.
const std::vector<std::string>& ReportVariantNames();
// Fails with kBadCommandLine.
dandelionmill::base::Result<dandelionmill::gateway::LoadReportUse>
FindReportVariant(const std::string& name);

}  // namespace bench::placement

#endif  // BENCH_PLACEMENT_REPORT_VARIANTS_H_
