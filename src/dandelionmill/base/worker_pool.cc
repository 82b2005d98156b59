#include "dandelionmill/base/worker_pool.h"

#include <utility>

namespace dandelionmill::base {

WorkerPool::WorkerPool(int threads) {
  for (int i = 0; i < threads; ++i)
    threads_.emplace_back([this] { RunJobs(); });
}

WorkerPool::~WorkerPool() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_)
    thread.join();
}

void WorkerPool::Add(Job job) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  changed_.notify_one();
}

void WorkerPool::RunJobs() {
  while (true) {
    Job job;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (stopping_)
        return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    job();
  }
}

}  // namespace dandelionmill::base
