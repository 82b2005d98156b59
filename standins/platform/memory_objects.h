#ifndef STANDINS_PLATFORM_MEMORY_OBJECTS_H_
#define STANDINS_PLATFORM_MEMORY_OBJECTS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "dandelionmill/storage/object_store.h"
#include "standins/platform/fault_plan.h"

namespace standins::platform {

// In-memory implementation of the platform's object store, used by
// standin-platform and as a fake in unit and property tests. Thread-safe.
class MemoryObjects : public dandelionmill::storage::ObjectStore {
 public:
  // If `faults` is null, no faults are injected.
  explicit MemoryObjects(std::shared_ptr<FaultPlan> faults = nullptr);

  // Errors are those of ObjectStore.
  dandelionmill::base::Result<std::string> Get(
      const std::string& name) override;
  dandelionmill::base::Result<std::vector<std::string>>
  List(const std::string& prefix, const std::string& after, int limit) override;
  dandelionmill::base::Status Put(const std::string& name,
                                  const std::string& content) override;

  // Returns every object whose name starts with `prefix`, by name. For
  // assertions in tests; not subject to injected faults.
  std::map<std::string, std::string> All(const std::string& prefix) const;

 private:
  const std::shared_ptr<FaultPlan> faults_;
  mutable std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

}  // namespace standins::platform

#endif  // STANDINS_PLATFORM_MEMORY_OBJECTS_H_
