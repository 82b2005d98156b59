#ifndef SRC_DANDELIONMILL_NET_INTERNAL_ELASTIC_THREAD_POOL_H_
#define SRC_DANDELIONMILL_NET_INTERNAL_ELASTIC_THREAD_POOL_H_

#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace dandelionmill::net::internal {

// A thread pool that grows with the number of concurrent jobs up to a limit;
// further jobs are queued. A thread ends after `idle_time` without a job, so
// that an idle server keeps few threads.
class ElasticThreadPool : public httplib::TaskQueue {
 public:
  // `max_threads` must be at least 1.
  explicit ElasticThreadPool(
      int max_threads,
      std::chrono::milliseconds idle_time = std::chrono::seconds(10));
  ~ElasticThreadPool() override;

  void enqueue(std::function<void()> job) override;
  // Runs the queued jobs and returns when every thread has ended.
  void shutdown() override;

  // Returns the current number of threads.
  int threads() const;

 private:
  void StartThread();
  void RunJobs();

  const int max_threads_;
  const std::chrono::milliseconds idle_time_;
  mutable std::mutex mutex_;
  std::condition_variable job_added_;
  std::condition_variable thread_ended_;
  std::deque<std::function<void()>> jobs_;
  int threads_ = 0;
  int idle_threads_ = 0;
  bool stopping_ = false;
};

}  // namespace dandelionmill::net::internal

#endif  // SRC_DANDELIONMILL_NET_INTERNAL_ELASTIC_THREAD_POOL_H_
