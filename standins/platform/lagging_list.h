#ifndef STANDINS_PLATFORM_LAGGING_LIST_H_
#define STANDINS_PLATFORM_LAGGING_LIST_H_

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/storage/instance_list.h"

namespace standins::platform {

// The platform's instance list with eventual consistency: a change becomes
// visible a fixed lag after it was made. Not thread-safe.
class LaggingList {
 public:
  using Instance = dandelionmill::storage::ListedInstance;

  explicit LaggingList(std::chrono::milliseconds lag);

  // Commands.
  void Put(const Instance& instance, dandelionmill::base::MonoTime now);
  void Erase(const std::string& id, dandelionmill::base::MonoTime now);

  // Returns the instances visible at `now`, sorted by id.
  std::vector<Instance> Visible(dandelionmill::base::MonoTime now);

 private:
  struct Change {
    dandelionmill::base::MonoTime visible_at;
    Instance instance;
    bool erase = false;
  };

  const std::chrono::milliseconds lag_;
  std::deque<Change> pending_;
  std::map<std::string, Instance> visible_;
};

}  // namespace standins::platform

#endif  // STANDINS_PLATFORM_LAGGING_LIST_H_
