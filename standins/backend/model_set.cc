#include "standins/backend/model_set.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace standins::backend {
namespace {

constexpr std::chrono::milliseconds kFetchRetryDelay{300};
constexpr char kDefaultVersion[] = "1";

}  // namespace

ModelSet::ModelSet(Options options) : options_(std::move(options)) {
  for (const std::string& model : options_.models)
    loaded_[model] = kDefaultVersion;
  desired_ = loaded_;
  thread_ = std::thread([this] { RunLoader(); });
}

ModelSet::~ModelSet() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

bool ModelSet::ApplyOrder(const nlohmann::json& order,
                          std::uint64_t* highest_fence) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto fence = order.value("fence", std::uint64_t{0});
  if (options_.checks_fencing && fence < fence_) {
    *highest_fence = fence_;
    return false;
  }
  fence_ = std::max(fence_, fence);
  orders_.push_back(order.dump());
  desired_.clear();
  for (const auto& model : order.at("state").at("models"))
    desired_[model.at("model").get<std::string>()] =
        model.value("version", kDefaultVersion);
  for (auto model = loaded_.begin(); model != loaded_.end();)
    model = desired_.count(model->first) == 0 ? loaded_.erase(model)
                                              : std::next(model);
  changed_.notify_all();
  return true;
}

std::vector<std::string> ModelSet::Loaded() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> models;
  for (const auto& [model, version] : loaded_)
    models.push_back(model);
  return models;
}

bool ModelSet::IsLoaded(const std::string& model) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return loaded_.count(model) != 0;
}

nlohmann::json ModelSet::Orders() const {
  std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json orders = nlohmann::json::array();
  for (const std::string& order : orders_)
    orders.push_back(nlohmann::json::parse(order));
  return orders;
}

void ModelSet::RunLoader() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!is_stopping_) {
    if (!LoadNext(lock))
      changed_.wait(lock);
  }
}

bool ModelSet::LoadNext(std::unique_lock<std::mutex>& lock) {
  for (const auto& [model, version] : Versions(desired_)) {
    const auto loaded = loaded_.find(model);
    if (loaded != loaded_.end() && loaded->second == version)
      continue;
    lock.unlock();
    const bool fetched = !options_.fetch || options_.fetch(model, version);
    lock.lock();
    changed_.wait_for(lock, fetched ? options_.load_time : kFetchRetryDelay,
                      [this] { return is_stopping_; });
    const auto desired = desired_.find(model);
    if (fetched && desired != desired_.end() && desired->second == version)
      loaded_[model] = version;
    return true;
  }
  return false;
}

}  // namespace standins::backend
