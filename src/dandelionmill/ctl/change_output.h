#ifndef SRC_DANDELIONMILL_CTL_CHANGE_OUTPUT_H_
#define SRC_DANDELIONMILL_CTL_CHANGE_OUTPUT_H_

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "dandelionmill/ctl/command.h"
#include "dandelionmill/ctl/commit.h"

namespace dandelionmill::ctl {

// Returns an array of objects with the keys kind, path, before and after. An
// added object has no "before", a removed one no "after".
nlohmann::json ToJson(const std::vector<inventory::Change>& changes);

// Prints each change on a line of its own.
void PrintChanges(const std::vector<inventory::Change>& changes,
                  std::ostream& out);

// Prints the outcome of a commit, as JSON with --json, and returns the exit
// status.
Exit ReportOutcome(const base::Result<CommitOutcome>& outcome,
                   const Invocation& invocation,
                   Environment& environment);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_CHANGE_OUTPUT_H_
