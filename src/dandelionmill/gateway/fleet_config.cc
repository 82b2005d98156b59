#include "dandelionmill/gateway/fleet_config.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::gateway {

const char* ToString(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non_idempotent";
    case RequestKind::kResumableStream:
      return "resumable_stream";
    case RequestKind::kStream:
      return "stream";
  }
  return "unknown";
}

FleetConfig::FleetConfig(base::ConfigVersion version,
                         std::vector<Route> routes,
                         std::vector<Service> services,
                         std::vector<ClientAccount> accounts,
                         bool has_accounts,
                         CallerLimits limits)
    : version_(version),
      routes_(std::move(routes)),
      accounts_(std::move(accounts)),
      has_accounts_(has_accounts),
      limits_(limits) {
  const auto has_home = [](const auto& item) {
    return item.home_regions != nullptr;
  };
  has_home_regions_ = std::any_of(routes_.begin(), routes_.end(), has_home) ||
                      std::any_of(accounts_.begin(), accounts_.end(), has_home);
  for (Service& service : services) {
    const base::ServiceId id = service.id;
    services_.emplace(id, std::move(service));
  }
  for (std::size_t i = 0; i < routes_.size(); ++i)
    by_host_[routes_[i].host].push_back(i);
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(
        indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
          return routes_[a].path_prefix.size() > routes_[b].path_prefix.size();
        });
  }
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    for (const std::string& key : accounts_[i].api_keys)
      by_key_.emplace(key, i);
  }
}

const Route* FleetConfig::FindRoute(std::string_view host,
                                    std::string_view path) const {
  const auto found = by_host_.find(std::string(host));
  if (found == by_host_.end())
    return nullptr;
  const std::string_view path_without_query = path.substr(0, path.find('?'));
  for (const std::size_t index : found->second) {
    const std::string& prefix = routes_[index].path_prefix;
    if (path_without_query.substr(0, prefix.size()) == prefix)
      return &routes_[index];
  }
  return nullptr;
}

const ClientAccount* FleetConfig::FindAccountByKey(
    const std::string& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &accounts_[found->second];
}

const ClientAccount* FleetConfig::FindAccount(const base::AccountId& id) const {
  const auto found =
      std::find_if(accounts_.begin(), accounts_.end(),
                   [&id](const ClientAccount& a) { return a.id == id; });
  return found == accounts_.end() ? nullptr : &*found;
}

const Service* FleetConfig::FindService(const base::ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

base::Status CheckHomeRegions(const FleetConfig& config,
                              const scheduling::ZoneRegions& zones) {
  const auto unknown = [](const std::string& owner,
                          const base::RegionId& region) {
    return base::Error{base::Code::kBadInventory,
                       "desired state: " + owner + " has the home region \"" +
                           region.value() +
                           "\"; allowed: a region that the platform's "
                           "settings name for a zone (zones.NAME=REGION)"};
  };
  for (const Route& route : config.routes()) {
    if (const auto* region =
            scheduling::FindUnknownRegion(route.home_regions, zones))
      return unknown("route " + route.host + route.path_prefix, *region);
  }
  for (const ClientAccount& account : config.accounts()) {
    if (const auto* region =
            scheduling::FindUnknownRegion(account.home_regions, zones))
      return unknown("account " + account.id.value(), *region);
  }
  return base::Unit{};
}

const base::ServiceId& PickService(const Route& route, std::uint64_t random) {
  std::uint64_t total = 0;
  for (const WeightedService& weighted : route.services)
    total += static_cast<std::uint64_t>(std::max(0, weighted.weight));
  if (total == 0)
    return route.services.front().service;
  std::uint64_t remaining = random % total;
  for (const WeightedService& weighted : route.services) {
    const auto weight =
        static_cast<std::uint64_t>(std::max(0, weighted.weight));
    if (remaining < weight)
      return weighted.service;
    remaining -= weight;
  }
  return route.services.back().service;
}

}  // namespace dandelionmill::gateway
