#include "dandelionmill/gateway/gateway_settings.h"

namespace dandelionmill::gateway {

settings::Schema GatewaySchema() {
  using settings::IntegerKey;
  return {
      {"metrics_port", IntegerKey{9464, 0, 65535, ""},
       "Port of the metrics and the state dump on the address that callers "
       "use; 0 for none."},
      {"log_lines_per_s", IntegerKey{400, 1, 100000, "lines/s"},
       "Log lines written in a second at most; more are left out and counted."},
  };
}

}  // namespace dandelionmill::gateway
