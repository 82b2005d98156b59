#ifndef SRC_DANDELIONMILL_STORAGE_INSTANCE_LIST_H_
#define SRC_DANDELIONMILL_STORAGE_INSTANCE_LIST_H_

#include <string>
#include <vector>

#include "dandelionmill/base/result.h"

namespace dandelionmill::storage {

// An entry of the platform's instance list, which lags by seconds.
struct ListedInstance {
  std::string id;
  // "entry" or "backend".
  std::string role;
  std::string zone;
  std::string region;
  // "ip:port" of the control process's bus (entry) or HTTP port (backend).
  std::string address;
  // Whether the listed state is "leaving".
  bool leaving = false;
};

// Reads the platform's instance list.
class InstanceList {
 public:
  virtual ~InstanceList() = default;

  // Returns all listed instances. Fails with kStoreUnavailable.
  virtual base::Result<std::vector<ListedInstance>> List() = 0;
};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_INSTANCE_LIST_H_
