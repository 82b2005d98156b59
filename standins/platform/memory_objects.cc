#include "standins/platform/memory_objects.h"

#include <utility>

namespace standins::platform {
namespace {

using dandelionmill::base::Code;
using dandelionmill::base::Error;

const Error& DownError() {
  static const Error error{Code::kStoreUnavailable, "the object store is down"};
  return error;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

MemoryObjects::MemoryObjects(std::shared_ptr<FaultPlan> faults)
    : faults_(faults ? std::move(faults) : std::make_shared<FaultPlan>()) {}

dandelionmill::base::Result<std::string> MemoryObjects::Get(
    const std::string& name) {
  if (faults_->IsDown())
    return DownError();
  std::lock_guard<std::mutex> lock(mutex_);
  const auto object = objects_.find(name);
  if (object == objects_.end())
    return Error{Code::kNotFound, "object " + name};
  return object->second;
}

dandelionmill::base::Result<std::vector<std::string>> MemoryObjects::List(
    const std::string& prefix,
    const std::string& after,
    int limit) {
  if (faults_->IsDown())
    return DownError();
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> names;
  auto object = after < prefix ? objects_.lower_bound(prefix)
                               : objects_.upper_bound(after);
  for (; object != objects_.end() && static_cast<int>(names.size()) < limit;
       ++object) {
    if (!StartsWith(object->first, prefix))
      break;
    names.push_back(object->first);
  }
  return names;
}

dandelionmill::base::Status MemoryObjects::Put(const std::string& name,
                                               const std::string& content) {
  const CommandFault fault = faults_->NextCommandFault();
  if (fault == CommandFault::kUnavailable)
    return DownError();
  const Error unknown{Code::kStoreOutcomeUnknown, "the answer was lost"};
  if (fault == CommandFault::kLoseRequest)
    return unknown;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    objects_[name] = content;
  }
  if (fault == CommandFault::kLoseAnswer)
    return unknown;
  return dandelionmill::base::Unit{};
}

std::map<std::string, std::string> MemoryObjects::All(
    const std::string& prefix) const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, std::string> found;
  for (auto object = objects_.lower_bound(prefix);
       object != objects_.end() && StartsWith(object->first, prefix); ++object)
    found.insert(*object);
  return found;
}

}  // namespace standins::platform
