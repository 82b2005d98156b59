#include "dandelionmill/gateway/gateway_settings.h"

#include "dandelionmill/gateway/placement_policy.h"

namespace dandelionmill::gateway {

settings::Schema GatewaySchema() {
  using settings::IntegerKey;
  using settings::TextKey;
  return {
      {"metrics_port", IntegerKey{9464, 0, 65535, ""},
       "Port of the metrics and the state dump on the address that callers "
       "use; 0 for none."},
      {"log_lines_per_s", IntegerKey{400, 1, 100000, "lines/s"},
       "Log lines written in a second at most; more are left out and counted."},
      {"placement", TextKey{"cost", false, PlacementPolicyNames(), false},
       "How a backend server is chosen; all but \"cost\" are baselines for "
       "comparisons."},
  };
}

}  // namespace dandelionmill::gateway
