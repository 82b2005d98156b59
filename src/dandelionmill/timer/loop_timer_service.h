#ifndef SRC_DANDELIONMILL_TIMER_LOOP_TIMER_SERVICE_H_
#define SRC_DANDELIONMILL_TIMER_LOOP_TIMER_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>

#include "dandelionmill/base/units.h"

namespace dandelionmill::timer {

// Calls subscribers periodically from an event loop, for single-threaded
// programs. Missed ticks are skipped. Not thread-safe: to be used on the loop's
// thread only.
class LoopTimerService {
 public:
  using Callback = std::function<void(base::MonoTime now)>;

  // `loop` must outlive the service.
  explicit LoopTimerService(boost::asio::io_context& loop) : loop_(loop) {}

  // Calls `callback` every `period` (at least 1 ms), first after one period,
  // until the service is destroyed or Stop is called.
  void Subscribe(std::chrono::milliseconds period, Callback callback) {
    entries_.push_back(
        {boost::asio::steady_timer(loop_), period, std::move(callback)});
    Arm(entries_.back());
  }

  // Cancels all subscriptions.
  void Stop() {
    for (Entry& entry : entries_)
      entry.timer.cancel();
  }

 private:
  struct Entry {
    boost::asio::steady_timer timer;
    std::chrono::milliseconds period;
    Callback callback;
  };

  void Arm(Entry& entry) {
    entry.timer.expires_after(entry.period);
    entry.timer.async_wait([this, &entry](boost::system::error_code error) {
      if (error)
        return;
      entry.callback(std::chrono::steady_clock::now());
      Arm(entry);
    });
  }

  boost::asio::io_context& loop_;
  std::list<Entry> entries_;
};

}  // namespace dandelionmill::timer

#endif  // SRC_DANDELIONMILL_TIMER_LOOP_TIMER_SERVICE_H_
