#ifndef SRC_DANDELIONMILL_GATEWAY_FLEET_CONFIG_H_
#define SRC_DANDELIONMILL_GATEWAY_FLEET_CONFIG_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// What may be repeated of a request.
enum class RequestKind {
  // Idempotent: may run more than once.
  kIdempotent,
  // May run once at most.
  kNonIdempotent,
  // A stream of events that another backend server can continue.
  kResumableStream,
  // A stream of events that may be started once at most.
  kStream,
};

// Whether a request of this kind may run on a second backend server after an
// attempt whose outcome is unknown.
inline bool MayRunAgain(RequestKind kind) {
  return kind == RequestKind::kIdempotent ||
         kind == RequestKind::kResumableStream;
}

inline bool IsStream(RequestKind kind) {
  return kind == RequestKind::kResumableStream || kind == RequestKind::kStream;
}

const char* ToString(RequestKind kind);

// A share of a route's requests that goes to one service.
struct WeightedService {
  base::ServiceId service;
  int weight = 1;
};

// Where the requests for a host and a path prefix go, and on what terms.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<WeightedService> services;
  // Longest time that a caller is kept waiting.
  std::chrono::milliseconds timeout{0};
  // Time to a whole answer, or to the first event of a stream, that callers
  // expect.
  std::chrono::milliseconds latency_objective{0};
  // Longest pause between events of a stream that callers expect.
  std::chrono::milliseconds event_gap_objective{0};
  // Backend servers that one request may be sent to, at most.
  int max_attempts = 1;
  // 0 is the most urgent.
  int priority = 5;
  // Needs no API key.
  bool is_public = false;
};

// What is known of the model engines of a service.
struct EngineTraits {
  int slots = 1;
  base::Tokens kv_cache_tokens = 0;
  // Output tokens in one event of a stream, at most.
  base::Tokens tokens_per_event = 1;
};

struct Service {
  base::ServiceId id;
  std::string health_path;
  // Connections that one backend server takes from the whole fleet.
  int max_connections = 1;
  // Set for model engines only.
  std::optional<EngineTraits> engine;
};

struct ClientAccount {
  base::AccountId id;
  std::vector<std::string> api_keys;
  // Replaces the priority of the route when set.
  std::optional<int> priority;
  // Model tokens that the account may use in all; unlimited when not set.
  std::optional<base::Tokens> prepaid;
};

// What callers may send.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of the desired state. Immutable once built.
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
  // Whether requests need an API key at all.
  bool has_accounts() const { return has_accounts_; }

  // Returns the route of `host` with the longest prefix of `path`, or nullptr.
  // `path` may carry a query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the account that holds `key`, or nullptr.
  const ClientAccount* FindAccountByKey(const std::string& key) const;
  // Returns the account of that name, or nullptr.
  const ClientAccount* FindAccount(const base::AccountId& id) const;
  const Service* FindService(const base::ServiceId& id) const;

 private:
  base::ConfigVersion version_;
  std::vector<Route> routes_;
  std::map<base::ServiceId, Service> services_;
  std::vector<ClientAccount> accounts_;
  bool has_accounts_;
  CallerLimits limits_;
  // Indexes into routes_, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
  std::unordered_map<std::string, std::size_t> by_key_;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

// Returns the service that takes a request, given a number that is uniform
// over requests. `route` must name a service.
const base::ServiceId& PickService(const Route& route, std::uint64_t random);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_FLEET_CONFIG_H_
