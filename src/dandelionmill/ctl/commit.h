#ifndef SRC_DANDELIONMILL_CTL_COMMIT_H_
#define SRC_DANDELIONMILL_CTL_COMMIT_H_

#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/ctl/store.h"
#include "dandelionmill/inventory/diff.h"
#include "dandelionmill/inventory/document.h"

namespace dandelionmill::ctl {

// A configuration change requested by an operator.
struct ChangeRequest {
  inventory::Document desired;
  // The version that the operator edited; 0 when no version existed.
  base::ConfigVersion base = 0;
  // Whether to keep changes committed since `base` that do not overlap with
  // this one, instead of reporting a conflict.
  bool merge = false;
  std::string author;
  std::string summary;
  base::WallTime at;
};

// The change was committed as `version`.
struct Committed {
  base::ConfigVersion version = 0;
  std::vector<inventory::Change> changes;
  // Changes by others since the base that were kept by a merge.
  std::vector<inventory::Change> merged;
};
// The request equals the accepted configuration; nothing was written.
struct Unchanged {
  base::ConfigVersion version = 0;
};
// Another change was committed since the base; nothing was accepted.
struct Conflict {
  inventory::Head accepted;
  // Changes committed since the base.
  std::vector<inventory::Change> theirs;
  // Paths that both sides changed; empty when a merge is possible.
  std::vector<std::string> overlap;
};
using CommitOutcome = std::variant<Committed, Unchanged, Conflict>;

// Commits a change by compare-and-set on the accepted version, in one
// transaction with its history row and the grants that it changes. When the
// store's answer is lost, reads the history row back to find the outcome.
// Fails with kStoreOutcomeUnknown when that read fails too. After any other
// error nothing was accepted: kBadInventory, kBudgetFloor, kStoreUnavailable,
// kNotFound (no version `base`), kMalformedMessage (a budget row), or
// kConfigConflict or kStoreConflict (retries exhausted).
base::Result<CommitOutcome> CommitChange(Stores stores,
                                         const ChangeRequest& request);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_COMMIT_H_
