#ifndef SRC_DANDELIONMILL_PLATFORM_NODE_SETTINGS_H_
#define SRC_DANDELIONMILL_PLATFORM_NODE_SETTINGS_H_

#include <chrono>
#include <map>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::platform {

// The platform's description of the instance that a process runs on, and of the
// deployment.
struct NodeSettings {
  base::InstanceId instance;
  base::ZoneId zone;
  base::RegionId region;
  // Region of each availability zone of the deployment.
  std::map<base::ZoneId, base::RegionId> regions;
  // Listening address for callers' requests.
  net::Address frontend_address;
  // Listening address for the load balancer's readiness probe.
  net::Address readiness;
  // Address of the platform's store.
  net::Address store;
  // Listening address for other instances of the fleet: datagrams that lend
  // prepaid tokens over UDP, connections to relay over TCP.
  net::Address peer_address;
  // The last of the ports for other instances, of which peer_address has the
  // first.
  int last_peer_port = 0;

  // Time between SIGTERM and SIGKILL.
  std::chrono::milliseconds shutdown_grace{8000};
  // Time after which a leaving backend server receives no new requests.
  std::chrono::milliseconds drain_timeout{2500};
  // Time after which an evacuated zone's backend servers receive no new
  // requests.
  std::chrono::milliseconds evacuation_bound{5000};
  // Interval at which backend servers renew their registry entries.
  std::chrono::milliseconds heartbeat_interval{1200};
  // Retry budget of the fleet per service and window: retry_ratio times the
  // number of requests, plus retry_reserve.
  double retry_ratio = 0.2;
  double retry_reserve = 50;
  std::chrono::milliseconds retry_window{10000};
  // At most cold_overshoot times the rate that a cold backend server can take,
  // plus cold_slack, may reach it in one second.
  double cold_overshoot = 1.5;
  double cold_slack = 5;
  int max_file_descriptors = 1024;
  int memory_mb = 256;
  // Capacity of the instance's network link per direction; 0 when unknown.
  double link_bits_per_s = 0;
};

// Parses the platform's settings file, which has lines of the form a.b=value.
// Fails with kBadSetting, with the key, its value and the allowed values in the
// detail. Unknown keys are ignored.
base::Result<NodeSettings> ParseNodeSettings(const std::string& text);

// Loads the file named by the environment variable DANDELIONMILL_NODE_FILE, or
// else /etc/dandelionmill/node.conf. Fails with kBadSetting when the file is
// unreadable, empty or invalid.
base::Result<NodeSettings> LoadNodeSettings();

// Returns the content of the file that LoadNodeSettings reads; empty when it is
// unreadable.
std::string ReadNodeSettingsText();

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_NODE_SETTINGS_H_
