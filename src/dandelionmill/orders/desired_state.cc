#include "dandelionmill/orders/desired_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dandelionmill::orders {
namespace {

constexpr char kVersionSeparator = '@';

std::string ModelIdOf(const std::string& reported) {
  return reported.substr(0, reported.find(kVersionSeparator));
}

bool IsReported(const std::set<std::string>& models, const ModelState& state) {
  const std::string& id = state.model.value();
  return models.count(id) > 0 ||
         models.count(id + kVersionSeparator + state.version) > 0;
}

}  // namespace

std::map<base::BackendId, DesiredState> DesiredStates(
    const inventory::Snapshot& config,
    const inventory::Service& service) {
  std::map<base::BackendId, DesiredState> states;
  if (service.kind != inventory::ServiceKind::kModel)
    return states;
  DesiredState desired;
  for (const inventory::Model& model : service.models)
    desired.models.push_back({model.id, model.version, model.adapters});
  for (const inventory::Backend& backend : config.core().backends) {
    if (backend.service == service.id)
      states[backend.id] = desired;
  }
  return states;
}

bool Matches(const std::set<std::string>& models, const DesiredState& desired) {
  std::set<std::string> wanted;
  for (const ModelState& state : desired.models) {
    if (!IsReported(models, state))
      return false;
    wanted.insert(state.model.value());
    wanted.insert(state.adapters.begin(), state.adapters.end());
  }
  return std::all_of(models.begin(), models.end(),
                     [&](const std::string& reported) {
                       return wanted.count(ModelIdOf(reported)) > 0;
                     });
}

bool ServesAny(const std::set<std::string>& models,
               const DesiredState& desired) {
  return std::any_of(
      models.begin(), models.end(), [&](const std::string& reported) {
        return std::any_of(desired.models.begin(), desired.models.end(),
                           [&](const ModelState& state) {
                             return state.model.value() == ModelIdOf(reported);
                           });
      });
}

bool ReportsVersions(const std::set<std::string>& models) {
  return std::any_of(
      models.begin(), models.end(), [](const std::string& reported) {
        return reported.find(kVersionSeparator) != std::string::npos;
      });
}

std::string OrderBody(const DesiredState& desired, std::uint64_t fence) {
  nlohmann::json models = nlohmann::json::array();
  for (const ModelState& state : desired.models) {
    models.push_back({{"model", state.model.value()},
                      {"version", state.version},
                      {"adapters", state.adapters}});
  }
  nlohmann::json state = {{"models", std::move(models)}};
  if (!desired.role.empty())
    state["role"] = desired.role;
  return nlohmann::json{{"fence", fence}, {"state", std::move(state)}}.dump();
}

}  // namespace dandelionmill::orders
