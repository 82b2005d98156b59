#include "dandelionmill/router/router_metrics.h"

#include <string>

namespace dandelionmill::router {

RouterMetrics::RouterMetrics(metrics::Registry& registry)
    : registry_(registry),
      completed(registry.GetCounter("dandelion_router_completed_total",
                                    "Requests answered completely.")),
      events_relayed(registry.GetCounter("dandelion_router_events_total",
                                         "Stream events sent to callers.")),
      bytes_relayed(registry.GetCounter("dandelion_router_bytes_total",
                                        "Bytes of answers sent to callers.")),
      resumes(registry.GetCounter("dandelion_router_resumes_total",
                                  "Streams resumed on a new connection.")),
      silent_reconnects(
          registry.GetCounter("dandelion_router_silent_moves_total",
                              "Streams moved off a silent connection.")),
      reruns(registry.GetCounter("dandelion_router_reruns_total",
                                 "Requests run again after a lost attempt.")),
      attaches(registry.GetCounter(
          "dandelion_router_attaches_total",
          "Retries answered from an attempt that ran already.")),
      dropped_grants(registry.GetCounter(
          "dandelion_router_dropped_grants_total",
          "Grants dropped because their holder was closed.")),
      settlements_sent(
          registry.GetCounter("dandelion_router_settlements_sent_total",
                              "Settlement messages sent, with repeats.")),
      running(registry.GetGauge("dandelion_router_running_requests",
                                "Requests in progress.")),
      config_version(registry.GetGauge("dandelion_router_config_version",
                                       "Configuration in force.")),
      reserve_ms(registry.GetSummary("dandelion_router_reserve_ms",
                                     "Time to reserve tokens, ms.")),
      first_token_ms(
          registry.GetSummary("dandelion_router_first_token_ms",
                              "Arrival of a request to its first token, ms.")),
      token_gap_ms(registry.GetSummary("dandelion_router_token_gap_ms",
                                       "Time between writes of a stream, ms.")),
      overhead_ms(registry.GetSummary(
          "dandelion_router_overhead_ms",
          "Arrival of a request to its first byte to a backend server, ms.")) {}

void RouterMetrics::CountRefusal(base::Code code) {
  registry_
      .GetCounter("dandelion_router_refused_total", "Requests refused.",
                  "code=\"" + std::to_string(static_cast<int>(code)) + "\"")
      .Add();
}

}  // namespace dandelionmill::router
