#ifndef SRC_DANDELIONMILL_NET_FIBER_H_
#define SRC_DANDELIONMILL_NET_FIBER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "dandelionmill/base/units.h"

namespace dandelionmill::net {

// A function that runs on an event loop with a stack of its own, so that it can
// wait in the middle while the loop serves others.
class Fiber {
 public:
  Fiber(boost::asio::io_context& loop, boost::asio::yield_context yield)
      : loop_(loop), yield_(std::move(yield)) {}
  Fiber(const Fiber&) = delete;
  Fiber& operator=(const Fiber&) = delete;

  void SleepUntil(base::MonoTime until);

  boost::asio::io_context& loop() { return loop_; }
  // What asynchronous operations take as their completion handler.
  const boost::asio::yield_context& yield() const { return yield_; }

 private:
  boost::asio::io_context& loop_;
  const boost::asio::yield_context yield_;
};

// Runs `body` as a fiber of `loop`. Safe from any thread.
void StartFiber(boost::asio::io_context& loop,
                std::function<void(Fiber&)> body);

// Wakes a fiber of the same loop. For one waiting fiber; not for other threads.
class Signal {
 public:
  explicit Signal(boost::asio::io_context& loop) : timer_(loop) {}

  // A notice without a waiting fiber is kept for the next wait.
  void Notify();
  // Returns whether a notice came before `until`.
  bool WaitUntil(Fiber& fiber, base::MonoTime until);

 private:
  boost::asio::steady_timer timer_;
  bool is_notified_ = false;
};

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_FIBER_H_
