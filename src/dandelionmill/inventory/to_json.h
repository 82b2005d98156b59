#ifndef SRC_DANDELIONMILL_INVENTORY_TO_JSON_H_
#define SRC_DANDELIONMILL_INVENTORY_TO_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "dandelionmill/inventory/document.h"

namespace dandelionmill::inventory {

// Each returns JSON that parses to an equal value and includes all defaults.
nlohmann::json ToJson(const Rules& rules);
nlohmann::json ToJson(const Model& model);
nlohmann::json ToJson(const Budget& budget);
nlohmann::json ToJson(const Service& service);
nlohmann::json ToJson(const Backend& backend);
nlohmann::json ToJson(const Account& account);
nlohmann::json ToJson(const Region& region);
nlohmann::json ToJson(const Core& core);

// Returns the content of an inventory file, which does not include the rules.
nlohmann::json InventoryToJson(const Document& document);

}  // namespace dandelionmill::inventory

#endif  // SRC_DANDELIONMILL_INVENTORY_TO_JSON_H_
