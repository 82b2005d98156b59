#include "dandelionmill/net/fiber.h"

#include <boost/coroutine/attributes.hpp>
#include <utility>

namespace dandelionmill::net {
namespace {

// Bytes of a fiber's stack, of which only the used pages take memory. The
// deepest use is the parser of JSON bodies, whose nesting is limited.
constexpr std::size_t kStackBytes = 256 << 10;

}  // namespace

void Fiber::SleepUntil(base::MonoTime until) {
  boost::asio::steady_timer timer(loop_, until);
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

bool Signal::WaitUntil(Fiber& fiber, base::MonoTime until) {
  if (!is_notified_) {
    timer_.expires_at(until);
    boost::system::error_code ignored;
    timer_.async_wait(fiber.yield()[ignored]);
  }
  return std::exchange(is_notified_, false);
}

}  // namespace dandelionmill::net
