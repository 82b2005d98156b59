#ifndef SRC_DANDELIONMILL_PLATFORM_NODE_SETTINGS_H_
#define SRC_DANDELIONMILL_PLATFORM_NODE_SETTINGS_H_

#include <chrono>
#include <map>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::platform {

// What the platform tells a process about its instance and about the
// deployment.
struct NodeSettings {
  base::InstanceId instance;
  base::ZoneId zone;
  base::RegionId region;
  // Region of each availability zone of the deployment.
  std::map<base::ZoneId, base::RegionId> regions;
  // Callers connect here.
  net::Address callers;
  // The balancer asks here whether the instance takes new connections.
  net::Address readiness;
  net::Address store;
  // Other instances of the fleet send datagrams here.
  net::Address peers;

  // Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds shutdown_grace{8000};
  // A leaving backend server gets no new work after this time.
  std::chrono::milliseconds drain_bound{2500};
  // How often backend servers renew their entries.
  std::chrono::milliseconds heartbeat_interval{1200};
  // Extra attempts that the fleet may make in a window, as a share of the
  // requests for a service and a fixed number on top.
  double retry_ratio = 0.2;
  double retry_reserve = 50;
  std::chrono::milliseconds retry_window{10000};
  int max_file_descriptors = 1024;
  int memory_mb = 256;
  // Rate of the instance's network link in each direction; 0 when unknown.
  double link_bits_per_s = 0;
};

// Parses the platform's settings file: lines of the form a.b=value. Fails with
// kBadSetting naming the key, its value and what is allowed. Unknown keys are
// ignored.
base::Result<NodeSettings> ParseNodeSettings(const std::string& text);

// Reads and parses the file that the environment names, or the platform's
// default path. Fails with kBadSetting.
base::Result<NodeSettings> LoadNodeSettings();

// Returns the text of that file; empty when it cannot be read.
std::string ReadNodeSettingsText();

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_NODE_SETTINGS_H_
