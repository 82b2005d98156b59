#ifndef SRC_DANDELIONMILL_INVENTORY_INVENTORY_H_
#define SRC_DANDELIONMILL_INVENTORY_INVENTORY_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::inventory {

struct Region {
  base::RegionId id;
  std::vector<base::ZoneId> zones;
};

// A model provided by a service.
struct Model {
  base::ModelId id;
  std::string version;
  std::vector<std::string> adapters;
  // Maximum number of tokens that the engine's prompt template adds.
  base::Tokens template_tokens = 16;
  // Maximum output limit, and the default for requests without a limit.
  base::Tokens max_output_tokens = 512;
};

enum class ServiceKind { kModel, kPlain };

struct Service {
  base::ServiceId id;
  ServiceKind kind = ServiceKind::kModel;
  std::vector<Model> models;
  std::chrono::milliseconds default_deadline{60000};
  // Maximum number of requests that wait in one router.
  int queue_limit = 200;
  // Path prefixes, with a leading slash, of requests that must not be retried.
  std::vector<std::string> non_idempotent_paths;
  // Charge for each request to a plain service; may be 0.
  base::Tokens tokens_per_request = 0;
};

struct Backend {
  base::BackendId id;
  base::ServiceId service;
  base::ZoneId zone;
  net::Address address;
  // Maximum number of concurrent requests.
  int slots = 8;
  // Whether it rejects orders with an outdated fencing number.
  bool checks_fencing = false;
};

struct Budget {
  // Unique within the client account.
  std::string name;
  base::Tokens granted = 0;
  // How long the lease of an availability zone must last while the platform is
  // unreachable; 0 selects Rules::reserve.
  std::chrono::milliseconds reserve{0};
};

struct AccountLimits {
  // Per availability zone; 0 means unlimited.
  int requests_per_s = 0;
  // Concurrent requests in one router; 0 means unlimited.
  int connections = 0;
};

struct Account {
  base::AccountId id;
  // SHA-256 digests of the valid API keys; several are allowed for key
  // rotation.
  std::vector<std::string> key_sha256;
  std::vector<Budget> budgets;
  AccountLimits limits;
  // Relative share of a contended queue, at least 1.
  int weight = 1;
};

enum class LeasePolicy { kDemand, kFixedSplit, kPerRequest };
enum class RoutingPolicy { kAffinity, kRandom, kLeastInFlight, kTwoChoices };
enum class Spill { kAlways, kWhenLocalFull, kNever };

struct Rules {
  LeasePolicy lease_policy = LeasePolicy::kDemand;
  // Default for Budget::reserve.
  std::chrono::milliseconds reserve{120000};
  RoutingPolicy routing_policy = RoutingPolicy::kAffinity;
  // When requests may be sent to another availability zone or region.
  Spill cross_zone = Spill::kWhenLocalFull;
  Spill cross_region = Spill::kWhenLocalFull;
  // Maximum number of retries per hundred requests.
  int retry_budget_percent = 10;
  // How long a request body that crashed backend servers is rejected.
  std::chrono::milliseconds quarantine{600000};
};

// Everything except client accounts.
struct Core {
  std::vector<Region> regions;
  std::vector<Service> services;
  std::vector<Backend> backends;
  Rules rules;
};

// The client accounts in one part of a configuration, sorted by id. Immutable
// and shared by all versions in which the part is the same.
struct AccountShard {
  // SHA-256 of the part's text.
  std::string sha256;
  std::vector<Account> accounts;
};
// By part name.
using AccountShards =
    std::map<std::string, std::shared_ptr<const AccountShard>>;

// An active configuration. Immutable and shared between threads. Lookups return
// nullptr when there is no match; returned pointers are valid for the lifetime
// of the snapshot.
class Snapshot {
 public:
  Snapshot(base::ConfigVersion version,
           Core core,
           std::vector<Account> accounts);
  Snapshot(base::ConfigVersion version, Core core, AccountShards shards);

  base::ConfigVersion version() const { return version_; }
  const Core& core() const { return core_; }
  const Rules& rules() const { return core_.rules; }
  const AccountShards& shards() const { return shards_; }
  // Returns a copy of all client accounts, for tests and tools.
  std::map<base::AccountId, Account> accounts() const;

  const Account* FindAccount(const base::AccountId& id) const;
  const Service* FindService(const base::ServiceId& id) const;
  // Returns the service that provides `model`.
  const Service* FindServiceOfModel(const base::ModelId& model) const;
  static const Model* FindModel(const Service& service,
                                const base::ModelId& model);
  const Backend* FindBackend(const base::BackendId& id) const;
  // Returns the region of an availability zone, or an empty id when the zone is
  // unknown.
  base::RegionId RegionOf(const base::ZoneId& zone) const;

 private:
  const base::ConfigVersion version_;
  const Core core_;
  const AccountShards shards_;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace dandelionmill::inventory

#endif  // SRC_DANDELIONMILL_INVENTORY_INVENTORY_H_
