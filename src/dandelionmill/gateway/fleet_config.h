#ifndef SRC_DANDELIONMILL_GATEWAY_FLEET_CONFIG_H_
#define SRC_DANDELIONMILL_GATEWAY_FLEET_CONFIG_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/scheduling/home_regions.h"

namespace dandelionmill::gateway {

// Whether and how a request may be repeated.
enum class RequestKind {
  // May run more than once.
  kIdempotent,
  // May run at most once.
  kNonIdempotent,
  // An event stream that another backend server can continue.
  kResumableStream,
  // An event stream that may be started at most once.
  kStream,
};

// Returns whether a request of this kind may run on another backend server
// after an attempt with an unknown outcome.
inline bool IsRetryable(RequestKind kind) {
  return kind == RequestKind::kIdempotent ||
         kind == RequestKind::kResumableStream;
}

inline bool IsStream(RequestKind kind) {
  return kind == RequestKind::kResumableStream || kind == RequestKind::kStream;
}

const char* ToString(RequestKind kind);

// A service of a route and its weight in the traffic split.
struct WeightedService {
  base::ServiceId service;
  int weight = 1;
};

// Maps a host and a path prefix to services, with the limits for its requests.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<WeightedService> services;
  // Longest time from a request to the end of its response.
  std::chrono::milliseconds timeout{0};
  // Expected time to the complete response, or to the first event of a stream.
  std::chrono::milliseconds latency_objective{0};
  // Expected longest pause between two events of a stream.
  std::chrono::milliseconds event_gap_objective{0};
  // Largest number of backend servers that one request is sent to.
  int max_attempts = 1;
  // 0 is the most urgent.
  int priority = 5;
  // Needs no API key.
  bool is_public = false;
  scheduling::HomeRegions home_regions;
};

// Properties of the model engines of a service.
struct EngineTraits {
  int slots = 1;
  base::Tokens kv_cache_tokens = 0;
  // Largest number of output tokens in one event of a stream.
  base::Tokens tokens_per_event = 1;
};

struct Service {
  base::ServiceId id;
  std::string health_path;
  // Connections that one backend server accepts from the whole fleet.
  int max_connections = 1;
  // How long a backend server stays cold after its start; 0 if it never is.
  std::chrono::milliseconds cold_start{0};
  // Requests per second that a cold one takes from the whole fleet; 0 for no
  // limit.
  double cold_requests_per_s = 0;
  // Set for model engines only.
  std::optional<EngineTraits> engine;
};

struct ClientAccount {
  base::AccountId id;
  std::vector<std::string> api_keys;
  // Overrides the priority of the route when set.
  std::optional<int> priority;
  // Total model tokens that the account may use; unlimited when not set.
  std::optional<base::Tokens> prepaid;
  scheduling::HomeRegions home_regions;
};

// Limits for callers' connections and requests.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of the desired state of the fleet. Immutable.
class FleetConfig {
 public:
  FleetConfig(base::ConfigVersion version,
              std::vector<Route> routes,
              std::vector<Service> services,
              std::vector<ClientAccount> accounts,
              bool has_accounts,
              CallerLimits limits);

  base::ConfigVersion version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<ClientAccount>& accounts() const { return accounts_; }
  const std::map<base::ServiceId, Service>& services() const {
    return services_;
  }
  // Whether requests to routes that are not public need an API key.
  bool has_accounts() const { return has_accounts_; }
  // Whether any route or account has home regions.
  bool has_home_regions() const { return has_home_regions_; }

  // Returns the route of `host` with the longest prefix of `path`, or nullptr.
  // `path` may include a query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the account with the API key `key`, or nullptr.
  const ClientAccount* FindAccountByKey(const std::string& key) const;
  // Returns nullptr for an unknown id.
  const ClientAccount* FindAccount(const base::AccountId& id) const;
  // Returns nullptr for an unknown id.
  const Service* FindService(const base::ServiceId& id) const;

 private:
  base::ConfigVersion version_;
  std::vector<Route> routes_;
  std::map<base::ServiceId, Service> services_;
  std::vector<ClientAccount> accounts_;
  bool has_accounts_;
  bool has_home_regions_;
  CallerLimits limits_;
  // Indexes into routes_ by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
  // Indexes into accounts_ by API key.
  std::unordered_map<std::string, std::size_t> by_key_;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

// Fails with kBadInventory if a route or account has a home region to which no
// zone of `zones` belongs.
base::Status CheckHomeRegions(const FleetConfig& config,
                              const scheduling::ZoneRegions& zones);

// Returns the service for a request according to the weights of the route.
// `random` must be uniformly distributed over requests. `route` must have at
// least one service.
const base::ServiceId& PickService(const Route& route, std::uint64_t random);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_FLEET_CONFIG_H_
