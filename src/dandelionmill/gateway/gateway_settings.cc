#include "dandelionmill/gateway/gateway_settings.h"

#include "dandelionmill/gateway/placement_policy.h"

namespace dandelionmill::gateway {

settings::Schema GatewaySchema() {
  using settings::IntegerKey;
  using settings::TextKey;
  return {
      {"metrics_port", IntegerKey{9464, 0, 65535, ""},
       "Port of the metrics and the state dump on the callers' address; 0 "
       "disables both."},
      {"log_lines_per_s", IntegerKey{400, 1, 100000, "lines/s"},
       "Largest number of log lines per second; further lines are dropped and "
       "counted."},
      {"memory_percent", IntegerKey{40, 10, 80, "%"},
       "Share of limits.memoryMb that request bodies, buffered input, "
       "responses "
       "that wait for their readers and relayed connections may hold."},
      {"placement", TextKey{"cost", false, PlacementPolicyNames(), false},
       "Policy that chooses a backend server; all except \"cost\" are "
       "baselines for comparisons."},
  };
}

}  // namespace dandelionmill::gateway
