#include "dandelionmill/net/fiber.h"

#include <boost/coroutine/attributes.hpp>
#include <utility>

namespace dandelionmill::net {
namespace {

// Stack size of a fiber; only pages that were touched take memory. The deepest
// stack use is parsing JSON bodies, whose nesting depth is limited.
constexpr std::size_t kStackBytes = 256 << 10;

}  // namespace

void Fiber::SleepUntil(base::MonoTime deadline) {
  boost::asio::steady_timer timer(loop_, deadline);
  boost::system::error_code ignored;
  timer.async_wait(yield_[ignored]);
}

void StartFiber(boost::asio::io_context& loop,
                std::function<void(Fiber&)> body) {
  boost::asio::spawn(
      loop,
      [&loop, body = std::move(body)](boost::asio::yield_context yield) {
        Fiber fiber(loop, std::move(yield));
        body(fiber);
      },
      boost::coroutines::attributes(kStackBytes));
}

void Signal::Notify() {
  is_notified_ = true;
  timer_.cancel();
}

bool Signal::WaitUntil(Fiber& fiber, base::MonoTime deadline) {
  if (!is_notified_) {
    timer_.expires_at(deadline);
    boost::system::error_code ignored;
    timer_.async_wait(fiber.yield()[ignored]);
  }
  return std::exchange(is_notified_, false);
}

}  // namespace dandelionmill::net
