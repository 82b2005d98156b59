#ifndef SRC_DANDELIONMILL_CTL_FLEET_H_
#define SRC_DANDELIONMILL_CTL_FLEET_H_

#include <map>
#include <string>
#include <vector>

#include "dandelionmill/ctl/environment.h"

namespace dandelionmill::ctl {

// The state of a process, from its own dump or from the membership in the dump
// of a control.
struct ProcessStatus {
  // "control" or "router".
  std::string kind;
  // Instance id of a control; router id of a router.
  std::string name;
  std::string zone;
  base::ConfigVersion config_version = 0;
  bool reachable = true;
  bool leaving = false;
};

struct FleetStatus {
  // Sorted by kind, zone and name.
  std::vector<ProcessStatus> processes;
  // One error for each admin port whose state could not be read.
  std::vector<base::Error> errors;
};

// Reads the dump of every admin port in the settings and merges them. Each call
// takes up to the environment's timeout per connect, write and read.
FleetStatus ReadFleet(const Environment& environment);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_FLEET_H_
