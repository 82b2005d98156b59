#ifndef SRC_DANDELIONMILL_NET_FIBER_H_
#define SRC_DANDELIONMILL_NET_FIBER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "dandelionmill/base/units.h"

namespace dandelionmill::net {

// A stackful coroutine on an event loop. It can wait for an operation while the
// loop runs other work.
class Fiber {
 public:
  Fiber(boost::asio::io_context& loop, boost::asio::yield_context yield)
      : loop_(loop), yield_(std::move(yield)) {}
  Fiber(const Fiber&) = delete;
  Fiber& operator=(const Fiber&) = delete;

  // Suspends the fiber until `deadline`.
  void SleepUntil(base::MonoTime deadline);

  boost::asio::io_context& loop() { return loop_; }
  // The completion token to pass to asynchronous operations.
  const boost::asio::yield_context& yield() const { return yield_; }

 private:
  boost::asio::io_context& loop_;
  const boost::asio::yield_context yield_;
};

// Runs `body` as a fiber on `loop`. Thread-safe.
void StartFiber(boost::asio::io_context& loop,
                std::function<void(Fiber&)> body);

// Wakes up a fiber of the same loop. At most one fiber may wait at a time. Not
// thread-safe.
class Signal {
 public:
  explicit Signal(boost::asio::io_context& loop) : timer_(loop) {}

  // If no fiber is waiting, the next wait returns immediately.
  void Notify();
  // Returns true if notified, false if `deadline` passed first.
  bool WaitUntil(Fiber& fiber, base::MonoTime deadline);

 private:
  boost::asio::steady_timer timer_;
  bool is_notified_ = false;
};

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_FIBER_H_
