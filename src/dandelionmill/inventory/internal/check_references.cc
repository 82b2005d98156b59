#include <map>
#include <set>

#include "dandelionmill/inventory/internal/read_document.h"

namespace dandelionmill::inventory::internal {
namespace {

using Names = std::set<std::string>;

std::string ItemPointer(const std::string& pointer, std::size_t index) {
  return pointer + "/" + std::to_string(index);
}

// Adds `name` to `names`. A duplicate name is an error; an empty one is
// ignored, since it was reported when it was read.
void AddUnique(Names& names,
               const std::string& name,
               const std::string& pointer,
               ValidationErrors& errors) {
  if (!name.empty() && !names.insert(name).second)
    errors.Add(pointer, FormatValue(name), "a name that is used once");
}

void RequireKnown(const Names& names,
                  const std::string& name,
                  const std::string& pointer,
                  const std::string& entry_kind,
                  ValidationErrors& errors) {
  if (!name.empty() && names.count(name) == 0)
    errors.Add(pointer, FormatValue(name), "the id of " + entry_kind);
}

Names CheckRegions(const Core& core, ValidationErrors& errors) {
  Names regions;
  Names zones;
  for (std::size_t i = 0; i < core.regions.size(); ++i) {
    const std::string pointer = ItemPointer("/regions", i);
    AddUnique(regions, core.regions[i].id.value(), pointer + "/id", errors);
    for (std::size_t z = 0; z < core.regions[i].zones.size(); ++z)
      AddUnique(zones, core.regions[i].zones[z].value(),
                ItemPointer(pointer + "/zones", z), errors);
  }
  return zones;
}

void CheckServiceKind(const Service& service,
                      const std::string& pointer,
                      ValidationErrors& errors) {
  const bool is_model = service.kind == ServiceKind::kModel;
  if (is_model && service.models.empty())
    errors.Add(pointer + "/models", "empty",
               "at least one model in a service of kind \"model\"");
  if (!is_model && !service.models.empty())
    errors.Add(pointer + "/models", "given",
               "no models in a service of kind \"plain\"");
}

Names CheckServices(const Core& core, ValidationErrors& errors) {
  Names services;
  Names models;
  for (std::size_t i = 0; i < core.services.size(); ++i) {
    const Service& service = core.services[i];
    const std::string pointer = ItemPointer("/services", i);
    AddUnique(services, service.id.value(), pointer + "/id", errors);
    CheckServiceKind(service, pointer, errors);
    for (std::size_t m = 0; m < service.models.size(); ++m)
      AddUnique(models, service.models[m].id.value(),
                ItemPointer(pointer + "/models", m) + "/id", errors);
  }
  return services;
}

void CheckBackends(const Core& core,
                   const Names& zones,
                   const Names& services,
                   ValidationErrors& errors) {
  Names ids;
  Names addresses;
  for (std::size_t i = 0; i < core.backends.size(); ++i) {
    const Backend& backend = core.backends[i];
    const std::string pointer = ItemPointer("/backends", i);
    AddUnique(ids, backend.id.value(), pointer + "/id", errors);
    RequireKnown(zones, backend.zone.value(), pointer + "/zone",
                 "an availability zone in /regions", errors);
    RequireKnown(services, backend.service.value(), pointer + "/service",
                 "a service in /services", errors);
    if (backend.address.port != 0)
      AddUnique(addresses, net::ToString(backend.address), pointer + "/address",
                errors);
  }
}

}  // namespace

void CheckAccounts(const std::vector<Account>& accounts,
                   ValidationErrors& errors) {
  Names ids;
  std::map<std::string, std::string> account_by_key;
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    const Account& account = accounts[i];
    const std::string pointer = ItemPointer("/accounts", i);
    AddUnique(ids, account.id.value(), pointer + "/id", errors);
    Names budgets;
    for (std::size_t b = 0; b < account.budgets.size(); ++b)
      AddUnique(budgets, account.budgets[b].name,
                ItemPointer(pointer + "/budgets", b) + "/name", errors);
    for (std::size_t k = 0; k < account.key_sha256.size(); ++k) {
      if (!account_by_key.emplace(account.key_sha256[k], account.id.value())
               .second)
        errors.Add(ItemPointer(pointer + "/key_sha256", k), "(not shown)",
                   "a digest that is used once");
    }
  }
}

void CheckReferences(const Document& document, ValidationErrors& errors) {
  const Names zones = CheckRegions(document.core, errors);
  const Names services = CheckServices(document.core, errors);
  CheckBackends(document.core, zones, services, errors);
  CheckAccounts(document.accounts, errors);
}

}  // namespace dandelionmill::inventory::internal
