#include "dandelionmill/net/internal/elastic_thread_pool.h"

#include <system_error>
#include <thread>
#include <utility>

namespace dandelionmill::net::internal {

ElasticThreadPool::ElasticThreadPool(int max_threads,
                                     std::chrono::milliseconds idle_time)
    : max_threads_(max_threads), idle_time_(idle_time) {}

ElasticThreadPool::~ElasticThreadPool() {
  shutdown();
}

void ElasticThreadPool::enqueue(std::function<void()> job) {
  std::lock_guard<std::mutex> lock(mutex_);
  jobs_.push_back(std::move(job));
  // Compares with the queue length, as idle threads may already have been
  // notified of earlier jobs.
  if (static_cast<int>(jobs_.size()) > idle_threads_ && threads_ < max_threads_)
    StartThread();
  else
    job_added_.notify_one();
}

void ElasticThreadPool::StartThread() {
  try {
    std::thread([this] { RunJobs(); }).detach();
    ++threads_;
  } catch (const std::system_error&) {
    // The system is out of threads: the job waits for an existing one.
    if (threads_ == 0)
      throw;
  }
}

void ElasticThreadPool::RunJobs() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_threads_;
    const bool has_job = job_added_.wait_for(
        lock, idle_time_, [this] { return stopping_ || !jobs_.empty(); });
    --idle_threads_;
    if (!has_job || jobs_.empty())
      break;
    std::function<void()> job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
  }
  --threads_;
  // Notify under the lock: once it is released the pool may be destroyed.
  thread_ended_.notify_all();
}

void ElasticThreadPool::shutdown() {
  std::unique_lock<std::mutex> lock(mutex_);
  stopping_ = true;
  job_added_.notify_all();
  thread_ended_.wait(lock, [this] { return threads_ == 0; });
}

int ElasticThreadPool::threads() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return threads_;
}

}  // namespace dandelionmill::net::internal
