#ifndef SRC_DANDELIONMILL_INVENTORY_PARSE_H_
#define SRC_DANDELIONMILL_INVENTORY_PARSE_H_

#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/inventory/document.h"

namespace dandelionmill::inventory {

// Maximum sizes of the input files, in bytes.
inline constexpr std::size_t kMaxInventoryBytes = 64 << 20;
inline constexpr std::size_t kMaxRulesBytes = 1 << 20;

// Parses and validates an operator's inventory and rules files, including the
// ranges of values and the references between entries. Unknown and duplicate
// keys are errors as well. Fails with kBadInventory; the detail has one line
// for each of the first errors, with the JSON pointer, the invalid value and
// the allowed values.
base::Result<Document> ParseInventory(const std::string& inventory_json,
                                      const std::string& rules_json);

}  // namespace dandelionmill::inventory

#endif  // SRC_DANDELIONMILL_INVENTORY_PARSE_H_
