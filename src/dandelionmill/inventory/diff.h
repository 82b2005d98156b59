#ifndef SRC_DANDELIONMILL_INVENTORY_DIFF_H_
#define SRC_DANDELIONMILL_INVENTORY_DIFF_H_

#include <string>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/inventory/document.h"

namespace dandelionmill::inventory {

enum class ChangeKind { kAdded, kRemoved, kChanged };

// A difference in one entry of a document: a region, service, backend server,
// client account (without its budgets), budget or rule.
struct Change {
  ChangeKind kind = ChangeKind::kChanged;
  // Identifies the entry, such as "backends/gw-a-1",
  // "accounts/pigments/budgets/default" or "rules/lease_policy".
  std::string path;
  // The entry as JSON; empty when it does not exist.
  std::string before;
  std::string after;
};

// Returns the differences between two documents, sorted by path.
std::vector<Change> Diff(const Document& before, const Document& after);

// Formats a change as one line, such as "~ backends/gw-a-1 slots: 8 -> 12".
std::string ToString(const Change& change);

// Returns the paths that both lists change, but to different values.
std::vector<std::string> FindConflictingPaths(
    const std::vector<Change>& ours,
    const std::vector<Change>& theirs);

// Returns a copy of `document` with `changes` applied. Fails with kBadInventory
// when the result is not a valid inventory.
base::Result<Document> ApplyChanges(const Document& document,
                                    const std::vector<Change>& changes);

}  // namespace dandelionmill::inventory

#endif  // SRC_DANDELIONMILL_INVENTORY_DIFF_H_
