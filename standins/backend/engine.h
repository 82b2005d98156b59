#ifndef STANDINS_BACKEND_ENGINE_H_
#define STANDINS_BACKEND_ENGINE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "standins/backend/attempt.h"
#include "standins/backend/block_cache.h"
#include "standins/backend/record.h"

namespace standins::backend {

// A simplified model engine with continuous batching: each step produces one
// token for every running attempt whose prompt has been processed, and free
// slots go to waiting attempts by priority (lowest number first), then in order
// of arrival. Thread-safe.
class Engine {
 public:
  struct Options {
    int slots = 8;
    std::chrono::microseconds prefill_per_token{100};
    BlockCache::Options cache;
    // How long a finished attempt remains readable.
    std::chrono::milliseconds finished_retention{60000};
  };
  struct Load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    // Blocks of the prefix cache: in use and in total.
    std::size_t used_blocks = 0;
    std::size_t blocks = 0;
  };

  // `crash` is called when an attempt with Call::crashes set would produce a
  // token, after the crash has been recorded.
  Engine(Options options, RecordLog& records, std::function<void()> crash);

  // Queues an attempt and starts it at once if a slot is free.
  std::shared_ptr<Attempt> Submit(Attempt::Call call,
                                  dandelionmill::base::MonoTime now);
  // Cancels an attempt and returns it; nullptr if the id is unknown.
  std::shared_ptr<Attempt> Cancel(const std::string& id);
  // Runs one batch step.
  void Step(dandelionmill::base::MonoTime now);

  // Returns nullptr if the id is unknown.
  std::shared_ptr<Attempt> Find(const std::string& id) const;
  Load CurrentLoad() const;
  // As BlockCache::Events.
  std::vector<CacheEvent> CacheEvents(std::uint64_t after,
                                      std::size_t limit,
                                      dandelionmill::base::MonoTime now) const;
  // Returns whether no attempt is running or waiting.
  bool IsIdle() const;

 private:
  struct Job {
    std::shared_ptr<Attempt> attempt;
    RecordLog::Number record = 0;
    // Time at which the prompt has been processed.
    dandelionmill::base::MonoTime ready_at;
  };
  struct Finished {
    std::string attempt;
    dandelionmill::base::MonoTime expires_at;
  };
  // Priority, then order of arrival.
  using WaitingKey = std::pair<int, std::uint64_t>;

  void StartWaitingJobs(dandelionmill::base::MonoTime now);
  void StartJob(Job job, dandelionmill::base::MonoTime now);
  void RemoveFinished(dandelionmill::base::MonoTime now);
  void RemoveExpired(dandelionmill::base::MonoTime now);
  void RecordAndCrash();

  const Options options_;
  RecordLog& records_;
  const std::function<void()> crash_;

  mutable std::mutex mutex_;
  BlockCache cache_;
  std::map<WaitingKey, Job> waiting_;
  std::vector<Job> running_;
  std::uint64_t arrival_count_ = 0;
  std::map<std::string, std::shared_ptr<Attempt>> attempts_;
  std::vector<Finished> finished_;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_ENGINE_H_
