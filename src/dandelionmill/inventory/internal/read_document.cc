#include "dandelionmill/inventory/internal/read_document.h"

#include <utility>

#include "dandelionmill/inventory/internal/enum_names.h"
#include "dandelionmill/inventory/internal/sort_by_id.h"

namespace dandelionmill::inventory::internal {
namespace {

constexpr std::size_t kMaxRegions = 100;
constexpr std::size_t kMaxZones = 100;  // per region
constexpr std::size_t kMaxServices = 200;
constexpr std::size_t kMaxModels = 200;  // per service
constexpr std::size_t kMaxAdapters = 200;
constexpr std::size_t kMaxPaths = 100;
constexpr std::size_t kMaxBackends = 20000;
constexpr std::size_t kMaxAccounts = 200000;
constexpr std::size_t kMaxBudgets = 200;  // per account
constexpr std::size_t kMaxKeys = 16;      // per account
constexpr base::Tokens kMaxTokens = 1'000'000'000'000'000;
constexpr base::Tokens kMaxRequestTokens = 10'000'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxReserveMs = 86'400'000;

// Reads an array of objects, each with `read`.
template <class Item>
std::vector<Item> ReadArray(ObjectReader& parent,
                            const std::string& key,
                            std::size_t maximum,
                            ValidationErrors& errors,
                            Item (*read)(ObjectReader&, ValidationErrors&)) {
  std::vector<Item> items;
  std::size_t index = 0;
  const std::vector<Json>& array = parent.Array(key, maximum);
  items.reserve(array.size());
  for (const Json& json : array) {
    ObjectReader reader(
        json, parent.PointerTo(key) + "/" + std::to_string(index++), errors);
    items.push_back(read(reader, errors));
    reader.RejectUnknownKeys();
  }
  return items;
}

std::chrono::milliseconds ReadDuration(ObjectReader& reader,
                                       const std::string& key,
                                       std::chrono::milliseconds default_value,
                                       std::int64_t minimum,
                                       std::int64_t maximum) {
  return std::chrono::milliseconds(
      reader.Integer(key, default_value.count(), minimum, maximum));
}

Region ReadRegion(ObjectReader& reader, ValidationErrors&) {
  Region region;
  region.id = base::RegionId(reader.Text("id", TextFormat::kId));
  for (std::string& zone : reader.TextList("zones", TextFormat::kId, kMaxZones))
    region.zones.emplace_back(std::move(zone));
  return region;
}

Model ReadModel(ObjectReader& reader, ValidationErrors&) {
  Model model;
  model.id = base::ModelId(reader.Text("id", TextFormat::kModelId));
  model.version = reader.Text("version", TextFormat::kModelId);
  model.adapters =
      reader.TextList("adapters", TextFormat::kModelId, kMaxAdapters);
  model.template_tokens = reader.Integer(
      "template_tokens", model.template_tokens, 0, kMaxRequestTokens);
  model.max_output_tokens = reader.Integer(
      "max_output_tokens", model.max_output_tokens, 1, kMaxRequestTokens);
  return model;
}

Service ReadService(ObjectReader& reader, ValidationErrors& errors) {
  Service service;
  service.id = base::ServiceId(reader.Text("id", TextFormat::kId));
  service.kind =
      static_cast<ServiceKind>(reader.Choice("kind", 0, kServiceKinds));
  service.models =
      ReadArray<Model>(reader, "models", kMaxModels, errors, ReadModel);
  service.default_deadline =
      ReadDuration(reader, "default_deadline_ms", service.default_deadline, 1,
                   kMaxDeadlineMs);
  service.queue_limit = static_cast<int>(
      reader.Integer("queue_limit", service.queue_limit, 0, 100000));
  service.non_idempotent_paths =
      reader.TextList("non_idempotent_paths", TextFormat::kPath, kMaxPaths);
  service.tokens_per_request =
      reader.Integer("tokens_per_request", 0, 0, kMaxRequestTokens);
  return service;
}

Backend ReadBackend(ObjectReader& reader, ValidationErrors&) {
  Backend backend;
  backend.id = base::BackendId(reader.Text("id", TextFormat::kId));
  backend.service = base::ServiceId(reader.Text("service", TextFormat::kId));
  backend.zone = base::ZoneId(reader.Text("zone", TextFormat::kId));
  const base::Result<net::Address> address =
      net::ParseAddress(reader.Text("address", TextFormat::kAddress));
  if (base::IsOk(address))
    backend.address = base::ValueOf(address);
  backend.slots =
      static_cast<int>(reader.Integer("slots", backend.slots, 1, 100000));
  backend.checks_fencing = reader.Boolean("checks_fencing", false);
  return backend;
}

Budget ReadBudget(ObjectReader& reader, ValidationErrors&) {
  Budget budget;
  budget.name = reader.Text("name", TextFormat::kId);
  budget.granted = reader.Integer("granted", 0, 0, kMaxTokens);
  budget.reserve =
      ReadDuration(reader, "reserve_ms", budget.reserve, 0, kMaxReserveMs);
  return budget;
}

AccountLimits ReadLimits(ObjectReader& reader) {
  AccountLimits limits;
  limits.requests_per_s =
      static_cast<int>(reader.Integer("requests_per_s", 0, 0, 1'000'000));
  limits.connections =
      static_cast<int>(reader.Integer("connections", 0, 0, 1'000'000));
  reader.RejectUnknownKeys();
  return limits;
}

Account ReadAccount(ObjectReader& reader, ValidationErrors& errors) {
  Account account;
  account.id = base::AccountId(reader.Text("id", TextFormat::kId));
  account.key_sha256 =
      reader.TextList("key_sha256", TextFormat::kSha256, kMaxKeys);
  account.budgets =
      ReadArray<Budget>(reader, "budgets", kMaxBudgets, errors, ReadBudget);
  ObjectReader limits(reader.Object("limits"), reader.PointerTo("limits"),
                      errors);
  account.limits = ReadLimits(limits);
  account.weight =
      static_cast<int>(reader.Integer("weight", account.weight, 1, 1000));
  return account;
}

}  // namespace

void SortById(Document& document) {
  SortById(document.core.regions);
  SortById(document.core.services);
  SortById(document.core.backends);
  SortById(document.accounts);
}

std::vector<Region> ReadRegions(ObjectReader& parent,
                                ValidationErrors& errors) {
  return ReadArray<Region>(parent, "regions", kMaxRegions, errors, ReadRegion);
}

std::vector<Service> ReadServices(ObjectReader& parent,
                                  ValidationErrors& errors) {
  return ReadArray<Service>(parent, "services", kMaxServices, errors,
                            ReadService);
}

std::vector<Backend> ReadBackends(ObjectReader& parent,
                                  ValidationErrors& errors) {
  return ReadArray<Backend>(parent, "backends", kMaxBackends, errors,
                            ReadBackend);
}

std::vector<Account> ReadAccounts(ObjectReader& parent,
                                  ValidationErrors& errors) {
  return ReadArray<Account>(parent, "accounts", kMaxAccounts, errors,
                            ReadAccount);
}

Rules ReadRules(const Json& json,
                const std::string& pointer,
                ValidationErrors& errors) {
  ObjectReader reader(json, pointer, errors);
  Rules rules;
  rules.lease_policy = static_cast<LeasePolicy>(
      reader.Choice("lease_policy", 0, kLeasePolicies));
  rules.reserve =
      ReadDuration(reader, "reserve_ms", rules.reserve, 0, kMaxReserveMs);
  rules.routing_policy = static_cast<RoutingPolicy>(
      reader.Choice("routing_policy", 0, kRoutingPolicies));
  rules.cross_zone =
      static_cast<Spill>(reader.Choice("cross_zone", 1, kSpills));
  rules.cross_region =
      static_cast<Spill>(reader.Choice("cross_region", 1, kSpills));
  rules.retry_budget_percent = static_cast<int>(reader.Integer(
      "retry_budget_percent", rules.retry_budget_percent, 0, 100));
  rules.quarantine =
      ReadDuration(reader, "quarantine_ms", rules.quarantine, 0, kMaxReserveMs);
  reader.RejectUnknownKeys();
  return rules;
}

}  // namespace dandelionmill::inventory::internal
