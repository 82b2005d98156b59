#ifndef SRC_DANDELIONMILL_GATEWAY_GATEWAY_METRICS_H_
#define SRC_DANDELIONMILL_GATEWAY_GATEWAY_METRICS_H_

#include <chrono>
#include <string>

#include "dandelionmill/metrics/registry.h"

namespace dandelionmill::gateway {

// The metrics of the gateway process, by field-standard names.
class GatewayMetrics {
 public:
  // A request ended. `outcome` is "answered", "refused", "failed" or
  // "caller_gone"; `code` is 0 without one.
  void OnRequestEnded(const char* kind,
                      const std::string& outcome,
                      int code,
                      std::chrono::milliseconds duration);
  void OnFirstEvent(const char* kind, std::chrono::milliseconds waited);
  void OnAttempt(const char* reason);
  void OnConfigVersion(std::int64_t version);
  void OnTick(int open_exchanges,
              std::size_t backends,
              std::size_t idle_connections,
              int instances,
              std::chrono::milliseconds config_age,
              std::chrono::milliseconds registry_age);

  // Tokens of one account, and requests that wait for some.
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
