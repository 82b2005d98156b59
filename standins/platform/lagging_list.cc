#include "standins/platform/lagging_list.h"

namespace standins::platform {

LaggingList::LaggingList(std::chrono::milliseconds lag) : lag_(lag) {}

void LaggingList::Put(const Instance& instance,
                      dandelionmill::base::MonoTime now) {
  pending_.push_back({now + lag_, instance, false});
}

void LaggingList::Erase(const std::string& id,
                        dandelionmill::base::MonoTime now) {
  Instance instance;
  instance.id = id;
  pending_.push_back({now + lag_, instance, true});
}

std::vector<LaggingList::Instance> LaggingList::Visible(
    dandelionmill::base::MonoTime now) {
  while (!pending_.empty() && pending_.front().visible_at <= now) {
    const Change& change = pending_.front();
    if (change.erase)
      visible_.erase(change.instance.id);
    else
      visible_[change.instance.id] = change.instance;
    pending_.pop_front();
  }
  std::vector<Instance> instances;
  for (const auto& [id, instance] : visible_)
    instances.push_back(instance);
  return instances;
}

}  // namespace standins::platform
