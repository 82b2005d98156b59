#ifndef SRC_DANDELIONMILL_INVENTORY_DOCUMENT_H_
#define SRC_DANDELIONMILL_INVENTORY_DOCUMENT_H_

#include <vector>

#include "dandelionmill/inventory/inventory.h"

namespace dandelionmill::inventory {

// A validated inventory with its rules, to which no version is assigned yet.
struct Document {
  Core core;
  // Sorted by id.
  std::vector<Account> accounts;
};

}  // namespace dandelionmill::inventory

#endif  // SRC_DANDELIONMILL_INVENTORY_DOCUMENT_H_
