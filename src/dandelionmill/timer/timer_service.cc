#include "dandelionmill/timer/timer_service.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::timer {

TimerService::TimerService() : thread_([this] { Run(); }) {}

TimerService::~TimerService() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

TimerService::Subscription TimerService::Subscribe(
    std::chrono::milliseconds period,
    Callback callback) {
  period = std::max(period, std::chrono::milliseconds(1));
  std::lock_guard<std::mutex> lock(mutex_);
  const Subscription id = next_id_++;
  entries_[id] = {period, std::chrono::steady_clock::now() + period,
                  std::move(callback)};
  changed_.notify_all();
  return id;
}

void TimerService::Cancel(Subscription subscription) {
  std::unique_lock<std::mutex> lock(mutex_);
  entries_.erase(subscription);
  changed_.wait(lock, [&] { return running_ != subscription; });
}

void TimerService::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    auto next = std::min_element(entries_.begin(), entries_.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.due < b.second.due;
                                 });
    if (next == entries_.end()) {
      changed_.wait(lock);
      continue;
    }
    const base::MonoTime now = std::chrono::steady_clock::now();
    if (next->second.due > now) {
      const base::MonoTime due = next->second.due;
      changed_.wait_until(lock, due);
      continue;
    }
    next->second.due = now + next->second.period;
    const Callback callback = next->second.callback;
    running_ = next->first;
    lock.unlock();
    callback(now);
    lock.lock();
    running_ = 0;
    changed_.notify_all();
  }
}

}  // namespace dandelionmill::timer
