#include "dandelionmill/gateway/gateway_metrics.h"

namespace dandelionmill::gateway {

void GatewayMetrics::OnRequestEnded(const char* kind,
                                    const std::string& outcome,
                                    int code,
                                    std::chrono::milliseconds duration) {
  registry_
      .GetCounter("dandelion_requests_total",
                  "Requests ended, by kind, outcome and result code.",
                  std::string("kind=\"") + kind + "\",outcome=\"" + outcome +
                      "\",code=\"" + std::to_string(code) + "\"")
      .Add();
  registry_
      .GetHistogram("dandelion_request_duration_ms",
                    "Time from reading a request to the end of its answer.",
                    std::string("kind=\"") + kind + "\"")
      .Record(duration);
}

void GatewayMetrics::OnFirstEvent(const char* kind,
                                  std::chrono::milliseconds waited) {
  registry_
      .GetHistogram("dandelion_first_event_ms",
                    "Time from reading a request to the first event of its "
                    "answer.",
                    std::string("kind=\"") + kind + "\"")
      .Record(waited);
}

void GatewayMetrics::OnPrepaid(const std::string& account,
                               std::int64_t held,
                               std::int64_t available,
                               int waiting) {
  registry_
      .GetGauge("dandelion_prepaid_held_tokens",
                "Prepaid tokens that this instance holds.",
                "account=\"" + account + "\"")
      .Set(held);
  registry_
      .GetGauge("dandelion_prepaid_available_tokens",
                "Prepaid tokens that may be used now.",
                "account=\"" + account + "\"")
      .Set(available);
  registry_
      .GetGauge("dandelion_prepaid_waiting_requests",
                "Requests that wait for prepaid tokens.",
                "account=\"" + account + "\"")
      .Set(waiting);
}

void GatewayMetrics::OnChosenByEstimate(std::int64_t others_percent,
                                        std::int64_t work_time_percent) {
  registry_
      .GetCounter("dandelion_placements_by_estimate_total",
                  "Choices of a backend server by an estimate of its load.", "")
      .Add();
  registry_
      .GetCounter("dandelion_placements_others_percent_total",
                  "Sum over these choices of the assumed requests of other "
                  "instances, in percent of the server's slots.",
                  "")
      .Add(others_percent);
  registry_
      .GetCounter("dandelion_placements_work_time_percent_total",
                  "Sum over these choices of the assumed time that work takes, "
                  "in percent of the usual time.",
                  "")
      .Add(work_time_percent);
}

void GatewayMetrics::OnAttempt(const char* reason) {
  registry_
      .GetCounter("dandelion_attempts_total",
                  "Requests sent to backend servers, by reason.",
                  std::string("reason=\"") + reason + "\"")
      .Add();
}

void GatewayMetrics::OnStoreUse(const std::string& table,
                                std::uint64_t calls,
                                std::uint64_t bytes) {
  const std::string labels = "table=\"" + table + "\"";
  registry_
      .GetCounter("dandelion_store_calls_total", "Calls to the store.", labels)
      .Add(static_cast<std::int64_t>(calls));
  registry_
      .GetCounter("dandelion_store_bytes_total",
                  "Bytes of the bodies of calls to the store.", labels)
      .Add(static_cast<std::int64_t>(bytes));
}

void GatewayMetrics::OnColdBackends(std::size_t count) {
  registry_
      .GetGauge("dandelion_cold_backends",
                "Backend servers that are limited since they are or may be "
                "cold.")
      .Set(static_cast<std::int64_t>(count));
}

void GatewayMetrics::OnColdDeferred() {
  registry_
      .GetCounter("dandelion_cold_deferred_total",
                  "Attempts given up before they were sent since the backend "
                  "server is cold.",
                  "")
      .Add();
}

void GatewayMetrics::OnRedirected() {
  registry_
      .GetCounter("dandelion_redirected_requests_total",
                  "Requests refused since they would wait on the link of this "
                  "instance.",
                  "")
      .Add();
}

void GatewayMetrics::OnLimitApplied(const char* kind) {
  registry_
      .GetCounter("dandelion_limits_applied_total",
                  "Requests refused or connections closed for a limit, by kind "
                  "of limit.",
                  std::string("kind=\"") + kind + "\"")
      .Add();
}

void GatewayMetrics::OnHeldBytes(const char* use, std::size_t bytes) {
  registry_
      .GetGauge("dandelion_held_bytes",
                "Bytes that connections hold in memory, by use.",
                std::string("use=\"") + use + "\"")
      .Set(static_cast<std::int64_t>(bytes));
}

void GatewayMetrics::OnConfigVersion(std::int64_t version) {
  registry_
      .GetGauge("dandelion_config_version",
                "Version of the configuration in force.")
      .Set(version);
}

void GatewayMetrics::OnEvacuatedZones(std::size_t count) {
  registry_
      .GetGauge("dandelion_evacuated_zones",
                "Availability zones whose backend servers receive no new "
                "requests, by order of the operator.")
      .Set(static_cast<std::int64_t>(count));
}

void GatewayMetrics::OnTick(int open_exchanges,
                            std::size_t backends,
                            std::size_t idle_connections,
                            int instances,
                            std::chrono::milliseconds config_age,
                            std::chrono::milliseconds registry_age) {
  registry_.GetGauge("dandelion_open_requests", "Requests in flight.")
      .Set(open_exchanges);
  registry_.GetGauge("dandelion_backends", "Backend servers known.")
      .Set(static_cast<std::int64_t>(backends));
  registry_
      .GetGauge("dandelion_idle_connections",
                "Kept connections to backend servers.")
      .Set(static_cast<std::int64_t>(idle_connections));
  registry_.GetGauge("dandelion_instances", "Instances of the fleet alive.")
      .Set(instances);
  registry_
      .GetGauge("dandelion_config_age_ms",
                "Time since the store last answered about the configuration.")
      .Set(config_age.count());
  registry_
      .GetGauge("dandelion_registry_age_ms",
                "Time since the store last answered about backend servers.")
      .Set(registry_age.count());
}

}  // namespace dandelionmill::gateway
