#ifndef SRC_DANDELIONMILL_ORDERS_DESIRED_STATE_H_
#define SRC_DANDELIONMILL_ORDERS_DESIRED_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/inventory/inventory.h"

namespace dandelionmill::orders {

// A model in a certain version, with its adapters.
struct ModelState {
  base::ModelId model;
  std::string version;
  std::vector<std::string> adapters;

  friend bool operator==(const ModelState& a, const ModelState& b) {
    return a.model == b.model && a.version == b.version &&
           a.adapters == b.adapters;
  }
};

// The models that an engine is to have loaded, and its role. Each order carries
// the complete state, so that a repeated order, or an older order followed by a
// newer one, results in the same state as the newer order alone.
struct DesiredState {
  std::vector<ModelState> models;
  // Empty: the engine chooses its role.
  std::string role;

  friend bool operator==(const DesiredState& a, const DesiredState& b) {
    return a.models == b.models && a.role == b.role;
  }
  friend bool operator!=(const DesiredState& a, const DesiredState& b) {
    return !(a == b);
  }
};

// Returns the desired state of every engine of a service; empty for a plain
// service.
std::map<base::BackendId, DesiredState> DesiredStates(
    const inventory::Snapshot& config,
    const inventory::Service& service);

// Returns whether an engine that reports `models` has every desired model and
// no other one. A report names a model as "id" or as "id@version"; versions and
// adapters that it omits are taken to match.
bool Matches(const std::set<std::string>& models, const DesiredState& desired);

// Returns whether `models` contains any version of a desired model.
bool ServesAny(const std::set<std::string>& models,
               const DesiredState& desired);

// Returns whether a report names the version of any model.
bool ReportsVersions(const std::set<std::string>& models);

// Returns the JSON body of POST /v1/orders; `fence` is the fencing number.
std::string OrderBody(const DesiredState& desired, std::uint64_t fence);

}  // namespace dandelionmill::orders

#endif  // SRC_DANDELIONMILL_ORDERS_DESIRED_STATE_H_
