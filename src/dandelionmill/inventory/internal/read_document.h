#ifndef SRC_DANDELIONMILL_INVENTORY_INTERNAL_READ_DOCUMENT_H_
#define SRC_DANDELIONMILL_INVENTORY_INTERNAL_READ_DOCUMENT_H_

#include <string>
#include <vector>

#include "dandelionmill/inventory/document.h"
#include "dandelionmill/inventory/internal/json_reader.h"

namespace dandelionmill::inventory::internal {

// Each reads one section of a document and adds an error for each invalid
// value.
std::vector<Region> ReadRegions(ObjectReader& parent, ValidationErrors& errors);
std::vector<Service> ReadServices(ObjectReader& parent,
                                  ValidationErrors& errors);
std::vector<Backend> ReadBackends(ObjectReader& parent,
                                  ValidationErrors& errors);
std::vector<Account> ReadAccounts(ObjectReader& parent,
                                  ValidationErrors& errors);
Rules ReadRules(const Json& json,
                const std::string& pointer,
                ValidationErrors& errors);

// Checks that the ids of client accounts, the names of each account's budgets
// and the digests of all keys are unique.
void CheckAccounts(const std::vector<Account>& accounts,
                   ValidationErrors& errors);

// Adds an error for each duplicate name and each reference to an unknown entry.
void CheckReferences(const Document& document, ValidationErrors& errors);

// Sorts all lists by id, so that equal documents are written identically.
void SortById(Document& document);

}  // namespace dandelionmill::inventory::internal

#endif  // SRC_DANDELIONMILL_INVENTORY_INTERNAL_READ_DOCUMENT_H_
