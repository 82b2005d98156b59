#ifndef SRC_DANDELIONMILL_GATEWAY_GATEWAY_METRICS_H_
#define SRC_DANDELIONMILL_GATEWAY_GATEWAY_METRICS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "dandelionmill/metrics/registry.h"

namespace dandelionmill::gateway {

// The Prometheus metrics of the gateway process.
class GatewayMetrics {
 public:
  // A request ended. `outcome` is "answered", "refused", "failed" or
  // "caller_gone"; `code` is the result code, 0 for none. `duration` is the
  // time since the request was read.
  void OnRequestEnded(const char* kind,
                      const std::string& outcome,
                      int code,
                      std::chrono::milliseconds duration);
  // The first event of a stream arrived, `waited` after the request was read.
  void OnFirstEvent(const char* kind, std::chrono::milliseconds waited);
  // A request was sent to a backend server. `reason` is "first" or "again".
  void OnAttempt(const char* reason);
  // A request was refused so that its retry reaches another instance.
  void OnRedirected();
  // A backend server was chosen by an estimate of its load: requests of other
  // instances per 100 slots, and the time that work takes in percent of the
  // usual time.
  void OnChosenByEstimate(std::int64_t others_percent,
                          std::int64_t work_time_percent);
  void OnConfigVersion(std::int64_t version);
  // Sets the gauge of evacuated availability zones.
  void OnEvacuatedZones(std::size_t count);
  // A request was refused or a connection closed for a limit of callers or of
  // the instance's memory or descriptors.
  void OnLimitApplied(const char* kind);
  // Sets the gauge of the bytes that connections hold for `use`.
  void OnHeldBytes(const char* use, std::size_t bytes);
  // Sets the gauges. `config_age` and `registry_age` are the times since the
  // store last answered about the configuration and the registry.
  void OnTick(int open_exchanges,
              std::size_t backends,
              std::size_t idle_connections,
              int instances,
              std::chrono::milliseconds config_age,
              std::chrono::milliseconds registry_age);

  // Calls to the store for rows of `table`, and the bytes of their bodies.
  void OnStoreUse(const std::string& table,
                  std::uint64_t calls,
                  std::uint64_t bytes);

  // Sets the gauge of backend servers whose requests are limited since they are
  // or may be cold.
  void OnColdBackends(std::size_t count);
  // A request was not sent to the backend server that was chosen for it, since
  // that turned out to be cold.
  void OnColdDeferred();

  // Sets the gauges of one account: prepaid tokens that this instance holds and
  // that are available now, and requests that wait for tokens.
  void OnPrepaid(const std::string& account,
                 std::int64_t held,
                 std::int64_t available,
                 int waiting);

  std::string ToPrometheus() const { return registry_.ToPrometheus(); }

 private:
  metrics::Registry registry_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_GATEWAY_METRICS_H_
