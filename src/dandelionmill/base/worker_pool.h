#ifndef SRC_DANDELIONMILL_BASE_WORKER_POOL_H_
#define SRC_DANDELIONMILL_BASE_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace dandelionmill::base {

// Runs blocking jobs in FIFO order on a fixed number of threads.
class WorkerPool {
 public:
  using Job = std::function<void()>;

  // `threads` is at least 1.
  explicit WorkerPool(int threads);
  // Discards queued jobs and waits for the running ones.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Queues `job` without blocking. Thread-safe.
  void Add(Job job);

 private:
  void RunJobs();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_WORKER_POOL_H_
