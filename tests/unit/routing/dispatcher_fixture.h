#ifndef TESTS_UNIT_ROUTING_DISPATCHER_FIXTURE_H_
#define TESTS_UNIT_ROUTING_DISPATCHER_FIXTURE_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/routing/dispatcher.h"

namespace routing_test {

namespace base = dandelionmill::base;
namespace inventory = dandelionmill::inventory;
namespace routing = dandelionmill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline base::MonoTime At(milliseconds since_start) {
  return base::MonoTime(std::chrono::hours(1) + since_start);
}

inline inventory::Backend BackendIn(const std::string& id,
                                    const std::string& zone,
                                    int slots = 1) {
  inventory::Backend backend;
  backend.id = base::BackendId(id);
  backend.service = base::ServiceId("assay");
  backend.zone = base::ZoneId(zone);
  backend.slots = slots;
  return backend;
}

// Two regions: north with zones n1 and n2, south with zone s1.
inline inventory::Core CoreWith(std::vector<inventory::Backend> backends) {
  inventory::Core core;
  core.regions = {
      {base::RegionId("north"), {base::ZoneId("n1"), base::ZoneId("n2")}},
      {base::RegionId("south"), {base::ZoneId("s1")}}};
  inventory::Service service;
  service.id = base::ServiceId("assay");
  service.models.push_back({base::ModelId("ochre-8b"), "1", {}, 16, 512});
  service.queue_limit = 4;
  core.services = {service};
  core.backends = std::move(backends);
  core.rules.routing_policy = inventory::RoutingPolicy::kLeastInFlight;
  return core;
}

inline inventory::SnapshotPtr SnapshotOf(inventory::Core core) {
  return std::make_shared<inventory::Snapshot>(
      1, std::move(core), std::vector<inventory::Account>{});
}

inline routing::Request RequestOf(routing::RequestNumber number,
                                  const std::string& account = "pigments") {
  routing::Request request;
  request.number = number;
  request.account = base::AccountId(account);
  request.service = base::ServiceId("assay");
  request.model = base::ModelId("ochre-8b");
  request.body_sha256 = "body-" + std::to_string(number);
  request.expected_tokens = 100;
  request.deadline = At(seconds(60));
  return request;
}

// Returns the backend server of the only dispatch in `decisions`, "" if there
// is none, or "several".
inline std::string DispatchedTo(const routing::Decisions& decisions) {
  std::string backend;
  for (const auto& decision : decisions) {
    if (const auto* dispatch = std::get_if<routing::Dispatch>(&decision))
      backend = backend.empty() ? dispatch->backend.value() : "several";
  }
  return backend;
}

// Returns the last refusal in `decisions`, if any.
inline std::optional<routing::Refuse> RefusalIn(
    const routing::Decisions& decisions) {
  std::optional<routing::Refuse> refusal;
  for (const auto& decision : decisions) {
    if (const auto* refuse = std::get_if<routing::Refuse>(&decision))
      refusal = *refuse;
  }
  return refusal;
}

}  // namespace routing_test

#endif  // TESTS_UNIT_ROUTING_DISPATCHER_FIXTURE_H_
