#ifndef TESTS_SOAK_SOAK_H_
#define TESTS_SOAK_SOAK_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <vector>

#include "tests/soak/fleet.h"
#include "tests/soak/records.h"

namespace soak {

struct SoakOptions {
  FleetOptions fleet;
  unsigned seed = 1;
  int callers = 10;
  // How long faults begin for.
  std::chrono::milliseconds length{12000};
};

struct SoakResult {
  std::vector<Breach> breaches;
  // What was done and seen, for people.
  nlohmann::json summary;
};

// Plays one seed: starts a fleet, lets callers use it while faults come, waits
// until all is well again, and judges what callers and backend servers saw.
SoakResult RunSoak(const SoakOptions& options);

}  // namespace soak

#endif  // TESTS_SOAK_SOAK_H_
