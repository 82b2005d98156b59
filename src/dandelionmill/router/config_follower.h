#ifndef SRC_DANDELIONMILL_ROUTER_CONFIG_FOLLOWER_H_
#define SRC_DANDELIONMILL_ROUTER_CONFIG_FOLLOWER_H_

#include <map>
#include <optional>
#include <string>

#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/wire/config.pb.h"

namespace dandelionmill::router {

// Assembles configurations from the parts that controls send. The version never
// decreases. Does no I/O and is not thread-safe.
class ConfigFollower {
 public:
  base::ConfigVersion version() const { return version_; }

  // Processes the configuration head sent by a control. Returns the parsed
  // configuration if it is newer than the current one, complete and valid; each
  // part is checked against its digest. Otherwise returns nullopt and keeps the
  // current configuration.
  std::optional<inventory::SnapshotPtr> Update(const wire::ConfigHead& head);

  // Whether `head` is newer than the current configuration, so that its content
  // has to be fetched.
  bool IsNewer(const wire::ConfigHead& head) const {
    return head.version() > version_;
  }

  // Returns the request for the parts that are missing here.
  wire::ConfigFetch MakeFetch() const;

  // The error of the last newer configuration that was rejected; empty once one
  // has been accepted.
  const std::string& problem() const { return problem_; }

 private:
  base::ConfigVersion version_ = 0;
  // A part of the configuration in force, stored under its name in `parts_`.
  struct Part {
    std::string sha256;
    std::string content;
  };
  std::map<std::string, Part> parts_;
  inventory::SnapshotPtr snapshot_;
  std::string problem_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_CONFIG_FOLLOWER_H_
