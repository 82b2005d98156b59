#include "dandelionmill/timer/timer_service.h"

#include <atomic>
#include <catch2/catch.hpp>

using dandelionmill::timer::TimerService;

TEST_CASE("A subscriber is called until its subscription is cancelled",
          "[timer]") {
  TimerService timers;
  std::atomic<int> ticks{0};
  const auto subscription =
      timers.Subscribe(std::chrono::milliseconds(1),
                       [&](dandelionmill::base::MonoTime) { ++ticks; });
  while (ticks < 3)
    std::this_thread::yield();
  timers.Cancel(subscription);
  const int after_cancel = ticks;
  std::atomic<int> other_ticks{0};
  timers.Subscribe(std::chrono::milliseconds(1),
                   [&](dandelionmill::base::MonoTime) { ++other_ticks; });
  while (other_ticks < 3)
    std::this_thread::yield();
  CHECK(ticks == after_cancel);
}
