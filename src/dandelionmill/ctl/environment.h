#ifndef SRC_DANDELIONMILL_CTL_ENVIRONMENT_H_
#define SRC_DANDELIONMILL_CTL_ENVIRONMENT_H_

#include <ostream>
#include <string>
#include <vector>

#include "dandelionmill/ctl/store.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::ctl {

// The stores, settings and output streams that a command uses.
struct Environment {
  Stores stores;
  // Admin ports of controls and routers, and the key that they all accept.
  std::vector<net::Address> admin_addresses;
  std::string admin_key;
  // Limit of each connect, read and write of a call to an admin port.
  std::chrono::milliseconds timeout{2000};
  // Recorded in the history as the author of changes.
  std::string author;
  base::WallTime now;
  std::ostream& out;
  std::ostream& err;
};

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_ENVIRONMENT_H_
