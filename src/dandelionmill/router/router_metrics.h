#ifndef SRC_DANDELIONMILL_ROUTER_ROUTER_METRICS_H_
#define SRC_DANDELIONMILL_ROUTER_ROUTER_METRICS_H_

#include "dandelionmill/base/codes.h"
#include "dandelionmill/metrics/registry.h"

namespace dandelionmill::router {

// The metrics of a router process. Thread-safe.
class RouterMetrics {
 public:
  explicit RouterMetrics(metrics::Registry& registry);

  // Counts a refused request under its code.
  void CountRefusal(base::Code code);

 private:
  metrics::Registry& registry_;

 public:
  metrics::Counter& completed;
  metrics::Counter& events_relayed;
  metrics::Counter& bytes_relayed;
  metrics::Counter& resumes;
  metrics::Counter& silent_reconnects;
  metrics::Counter& reruns;
  metrics::Counter& attaches;
  metrics::Counter& dropped_grants;
  metrics::Counter& settlements_sent;
  metrics::Gauge& running;
  metrics::Gauge& config_version;
  metrics::Summary& reserve_ms;
  metrics::Summary& first_token_ms;
  metrics::Summary& token_gap_ms;
  metrics::Summary& overhead_ms;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_ROUTER_METRICS_H_
