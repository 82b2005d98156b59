#include "dandelionmill/inventory/to_json.h"

#include <nlohmann/json.hpp>

#include "dandelionmill/inventory/internal/enum_names.h"

namespace dandelionmill::inventory {
namespace {

using Json = nlohmann::json;

template <class Enum>
const std::string& NameOf(Enum value, const std::vector<std::string>& names) {
  return names[static_cast<std::size_t>(value)];
}

template <class Item>
Json ToJsonArray(const std::vector<Item>& items) {
  Json array = Json::array();
  for (const Item& item : items)
    array.push_back(ToJson(item));
  return array;
}

}  // namespace

Json ToJson(const Model& model) {
  return {{"id", model.id.value()},
          {"version", model.version},
          {"adapters", model.adapters},
          {"template_tokens", model.template_tokens},
          {"max_output_tokens", model.max_output_tokens}};
}

Json ToJson(const Budget& budget) {
  return {{"name", budget.name},
          {"granted", budget.granted},
          {"reserve_ms", budget.reserve.count()}};
}

Json ToJson(const Rules& rules) {
  return {
      {"lease_policy", NameOf(rules.lease_policy, internal::kLeasePolicies)},
      {"reserve_ms", rules.reserve.count()},
      {"routing_policy",
       NameOf(rules.routing_policy, internal::kRoutingPolicies)},
      {"cross_zone", NameOf(rules.cross_zone, internal::kSpills)},
      {"cross_region", NameOf(rules.cross_region, internal::kSpills)},
      {"retry_budget_percent", rules.retry_budget_percent},
      {"quarantine_ms", rules.quarantine.count()}};
}

Json ToJson(const Service& service) {
  return {{"id", service.id.value()},
          {"kind", NameOf(service.kind, internal::kServiceKinds)},
          {"models", ToJsonArray(service.models)},
          {"default_deadline_ms", service.default_deadline.count()},
          {"queue_limit", service.queue_limit},
          {"non_idempotent_paths", service.non_idempotent_paths},
          {"tokens_per_request", service.tokens_per_request}};
}

Json ToJson(const Backend& backend) {
  return {{"id", backend.id.value()},
          {"service", backend.service.value()},
          {"zone", backend.zone.value()},
          {"address", net::ToString(backend.address)},
          {"slots", backend.slots},
          {"checks_fencing", backend.checks_fencing}};
}

Json ToJson(const Account& account) {
  return {{"id", account.id.value()},
          {"key_sha256", account.key_sha256},
          {"budgets", ToJsonArray(account.budgets)},
          {"limits",
           {{"requests_per_s", account.limits.requests_per_s},
            {"connections", account.limits.connections}}},
          {"weight", account.weight}};
}

Json ToJson(const Region& region) {
  Json zones = Json::array();
  for (const base::ZoneId& zone : region.zones)
    zones.push_back(zone.value());
  return {{"id", region.id.value()}, {"zones", zones}};
}

Json ToJson(const Core& core) {
  return {{"regions", ToJsonArray(core.regions)},
          {"services", ToJsonArray(core.services)},
          {"backends", ToJsonArray(core.backends)},
          {"rules", ToJson(core.rules)}};
}

Json InventoryToJson(const Document& document) {
  Json json = ToJson(document.core);
  json.erase("rules");
  json["accounts"] = ToJsonArray(document.accounts);
  return json;
}

}  // namespace dandelionmill::inventory
