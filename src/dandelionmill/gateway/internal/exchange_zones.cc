#include <algorithm>

#include "dandelionmill/gateway/exchange.h"

// The availability zones in which an exchange may use backend servers and
// instances that relay.
namespace dandelionmill::gateway {

const scheduling::AllowedZones& Exchange::UpdateAllowedZones() {
  const FleetConfig& config = *context_.config;
  if (config.version() == allowed_version_)
    return allowed_zones_;
  allowed_version_ = config.version();
  if (!config.has_home_regions() && allowed_zones_.ContainsAll())
    return allowed_zones_;
  const auto target = request_.target();
  const Route* route =
      config.FindRoute(request_metadata_.host, {target.data(), target.size()});
  if (route != nullptr)
    route_home_regions_ = route->home_regions;
  if (const ClientAccount* account = FindAccountIn(config))
    account_home_regions_ = account->home_regions;
  allowed_zones_ = {scheduling::CombineHomeRegions(route_home_regions_,
                                                   account_home_regions_),
                    context_.zone_regions};
  return allowed_zones_;
}

const ClientAccount* Exchange::FindAccountIn(const FleetConfig& config) const {
  const ClientAccount* by_key =
      request_metadata_.api_key.empty()
          ? nullptr
          : config.FindAccountByKey(request_metadata_.api_key);
  if (account_ == nullptr || (by_key != nullptr && by_key->id == account_->id))
    return by_key;
  // The key was removed or belongs to another account now. A linear search, so
  // at most once for each configuration.
  return config.FindAccount(account_->id);
}

std::optional<Refusal> Exchange::RemoveForbiddenZones(
    std::vector<const BackendEntry*>& backends) {
  if (std::optional<Refusal> refusal = RemoveOutsideHomeRegions(backends))
    return refusal;
  const scheduling::Evacuations& evacuations = context_.evacuations;
  if (evacuations.empty() || backends.empty())
    return std::nullopt;
  backends.erase(std::remove_if(backends.begin(), backends.end(),
                                [&evacuations](const BackendEntry* backend) {
                                  return evacuations.Includes(backend->zone);
                                }),
                 backends.end());
  if (!backends.empty())
    return std::nullopt;
  const char* const detail =
      "the availability zones of all backend servers that may run the request "
      "are evacuated";
  return may_have_run_ ? FailMaybeRun(base::Code::kBackendFailed, 502, detail)
                       : RefuseNotRun(base::Code::kNoBackend, detail,
                                      kRetryAfterOperator);
}

std::optional<Refusal> Exchange::RemoveOutsideHomeRegions(
    std::vector<const BackendEntry*>& backends) {
  const scheduling::AllowedZones& allowed = UpdateAllowedZones();
  if (allowed.ContainsAll())
    return std::nullopt;
  if (allowed.IsEmpty()) {
    if (may_have_run_) {
      return FailMaybeRun(base::Code::kBackendFailed, 502,
                          "the home regions of the route and the account have "
                          "no region in common any more");
    }
    const bool is_current =
        context_.config_confirmation.IsCurrent(base::BootClock::now());
    return RefuseNotRun(base::Code::kNoBackend,
                        "the home regions of the route and the account have no "
                        "region in common",
                        is_current ? kRetryAfterOperator : kRetryAfterNoConfig);
  }
  if (backends.empty())
    return std::nullopt;
  backends.erase(std::remove_if(backends.begin(), backends.end(),
                                [&allowed](const BackendEntry* backend) {
                                  return !allowed.Contains(backend->zone);
                                }),
                 backends.end());
  if (!backends.empty())
    return std::nullopt;
  return may_have_run_
             ? FailMaybeRun(base::Code::kBackendFailed, 502,
                            "no backend server in the home regions of the "
                            "request can be used")
             : RefuseNotRun(base::Code::kNoBackend,
                            "no backend server in the home regions of the "
                            "request can be used",
                            kRetryAfterNoBackend);
}

std::optional<Refusal> Exchange::RefuseForbiddenZones() {
  if (UpdateAllowedZones().ContainsAll() && context_.evacuations.empty())
    return std::nullopt;
  auto usable =
      context_.directory.Usable(service_->id, std::chrono::steady_clock::now());
  return RemoveForbiddenZones(usable);
}

bool Exchange::MayBeSentOn(const BackendConnection& connection) {
  if (context_.evacuations.Includes(backend_->zone))
    return false;
  const scheduling::AllowedZones& allowed = UpdateAllowedZones();
  return allowed.ContainsAll() ||
         (allowed.Contains(backend_->zone) &&
          (!connection.relay || allowed.Contains(connection.relay->zone)));
}

}  // namespace dandelionmill::gateway
