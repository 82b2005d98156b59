#include "dandelionmill/gateway/loop_runner.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>

using dandelionmill::gateway::LoopRunner;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Guards against an instance that ends because of one unexpected error.
TEST_CASE("A handler that throws does not end the event loop", "[gateway]") {
  boost::asio::io_context loop(1);
  LoopRunner runner(loop);
  bool has_continued = false;
  boost::asio::post(loop, [] { throw std::runtime_error("unexpected"); });
  boost::asio::steady_timer timer(loop, milliseconds(300));
  timer.async_wait([&](boost::system::error_code) {
    boost::asio::post(loop, [] { throw std::logic_error("unexpected"); });
    boost::asio::post(loop, [&] { has_continued = true; });
  });
  runner.Run();
  CHECK(has_continued);
}

TEST_CASE("The runner measures when handlers wait for others", "[gateway]") {
  boost::asio::io_context loop(1);
  LoopRunner runner(loop);
  boost::asio::steady_timer timer(loop);
  const auto end = steady_clock::now() + milliseconds(2500);
  const milliseconds busy(GENERATE(0, 3));
  std::function<void()> step = [&] {
    const auto begin = steady_clock::now();
    if (begin > end)
      return loop.stop();
    for (int i = 0; i < 3; ++i)
      boost::asio::post(loop, [&] {
        const auto until = steady_clock::now() + busy;
        while (steady_clock::now() < until) {
        }
      });
    timer.expires_at(begin + milliseconds(10));
    timer.async_wait([&](boost::system::error_code) { step(); });
  };
  boost::asio::post(loop, step);
  runner.Run();
  INFO(runner.backlog_share());
  CHECK((runner.backlog_share() > 0.6) == (busy > milliseconds(0)));
}
