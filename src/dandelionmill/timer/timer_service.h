#ifndef SRC_DANDELIONMILL_TIMER_TIMER_SERVICE_H_
#define SRC_DANDELIONMILL_TIMER_TIMER_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "dandelionmill/base/units.h"

namespace dandelionmill::timer {

// Calls subscribers periodically from a dedicated thread. Callbacks run one
// after another, so each must be short: post a message and return.
// Thread-safe.
class TimerService {
 public:
  using Callback = std::function<void(base::MonoTime now)>;
  using Subscription = std::uint64_t;

  TimerService();
  ~TimerService();
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  // Calls `callback` every `period` (at least 1 ms), first after one period.
  // Missed ticks are skipped.
  Subscription Subscribe(std::chrono::milliseconds period, Callback callback);

  // Cancels a subscription. On return the callback is not running and will not
  // run again. Must not be called from a callback: cancelling the running
  // subscription would deadlock.
  void Cancel(Subscription subscription);

 private:
  struct Entry {
    std::chrono::milliseconds period;
    base::MonoTime due;
    Callback callback;
  };

  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Subscription, Entry> entries_;
  Subscription next_id_ = 1;
  // The subscription whose callback is running; 0 for none.
  Subscription running_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace dandelionmill::timer

#endif  // SRC_DANDELIONMILL_TIMER_TIMER_SERVICE_H_
