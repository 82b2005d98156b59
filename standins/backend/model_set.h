#ifndef STANDINS_BACKEND_MODEL_SET_H_
#define STANDINS_BACKEND_MODEL_SET_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

namespace standins::backend {

// The loaded models of an engine and the orders that change them. An order
// specifies the desired set of models; a background thread loads the missing
// ones. Thread-safe.
class ModelSet {
 public:
  // Fetches the weights of a model version. Returns false on failure; the fetch
  // is retried later.
  using Fetch =
      std::function<bool(const std::string& model, const std::string& version)>;
  struct Options {
    std::vector<std::string> models;
    // Whether orders with a fencing number below the highest seen are refused.
    bool checks_fencing = false;
    std::chrono::milliseconds load_time{1000};
    Fetch fetch;
  };

  explicit ModelSet(Options options);
  ~ModelSet();

  // Applies an order. If the engine checks fencing numbers and has seen a
  // higher one, returns false and stores that number in `*highest_fence`.
  bool ApplyOrder(const nlohmann::json& order, std::uint64_t* highest_fence);

  // Names of the loaded models, sorted.
  std::vector<std::string> Loaded() const;
  bool IsLoaded(const std::string& model) const;
  // Returns every applied order, oldest first.
  nlohmann::json Orders() const;

 private:
  // Versions by model.
  using Versions = std::map<std::string, std::string>;

  void RunLoader();
  // Loads one missing model; returns false if none is missing. Releases `lock`
  // while fetching.
  bool LoadNext(std::unique_lock<std::mutex>& lock);

  const Options options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Versions desired_;
  Versions loaded_;
  // Highest fencing number seen.
  std::uint64_t fence_ = 0;
  std::vector<std::string> orders_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_MODEL_SET_H_
