#include "dandelionmill/inventory/parse.h"

#include "dandelionmill/inventory/internal/json_reader.h"
#include "dandelionmill/inventory/internal/read_document.h"

namespace dandelionmill::inventory {

base::Result<Document> ParseInventory(const std::string& inventory_json,
                                      const std::string& rules_json) {
  internal::ValidationErrors errors;
  const internal::Json inventory = internal::ParseObject(
      inventory_json, kMaxInventoryBytes, "inventory", errors);
  const internal::Json rules =
      internal::ParseObject(rules_json, kMaxRulesBytes, "rules", errors);
  if (!errors.empty())
    return errors.ToError();

  Document document;
  internal::ObjectReader reader(inventory, "", errors);
  document.core.regions = internal::ReadRegions(reader, errors);
  document.core.services = internal::ReadServices(reader, errors);
  document.core.backends = internal::ReadBackends(reader, errors);
  document.accounts = internal::ReadAccounts(reader, errors);
  reader.RejectUnknownKeys();
  document.core.rules = internal::ReadRules(rules, "rules:", errors);
  internal::CheckReferences(document, errors);
  if (!errors.empty())
    return errors.ToError();
  internal::SortById(document);
  return document;
}

}  // namespace dandelionmill::inventory
