#ifndef TESTS_SOAK_SOAK_H_
#define TESTS_SOAK_SOAK_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "tests/soak/fleet.h"
#include "tests/soak/records.h"

namespace soak {

struct SoakOptions {
  FleetOptions fleet;
  unsigned seed = 1;
  int callers = 10;
  // Period in which new faults start.
  std::chrono::milliseconds length{12000};
  // Invariants that the old build of an upgrade is known to violate.
  std::set<std::string> known_old_invariants;
};

struct SoakResult {
  std::vector<Violation> violations;
  // Counts of requests, runs, statuses and disturbances for the report.
  nlohmann::json summary;
};

// Returns what the report adds to a violation in a run with an upgrade that
// names processes of the old build only: the known fault that it may show, if
// its invariant is one of `known_invariants`, which the old build is known to
// violate. Otherwise returns an empty string.
std::string AttributeToBuild(const Violation& violation,
                             const std::set<std::string>& known_invariants);

// Runs the soak for one seed: starts a fleet, sends requests while faults are
// injected, waits for recovery, and checks the invariants against the records
// of callers and backend servers.
SoakResult RunSoak(const SoakOptions& options);

}  // namespace soak

#endif  // TESTS_SOAK_SOAK_H_
