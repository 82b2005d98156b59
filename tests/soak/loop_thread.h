#ifndef TESTS_SOAK_LOOP_THREAD_H_
#define TESTS_SOAK_LOOP_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace soak {

// Runs an event loop on a thread of its own from construction to destruction.
// Declared after the objects whose handlers run on the loop, it stops these
// before the objects are destroyed.
class LoopThread {
 public:
  explicit LoopThread(boost::asio::io_context& loop)
      : loop_(loop),
        work_(loop.get_executor()),
        thread_([&loop] { loop.run(); }) {}
  ~LoopThread() {
    loop_.stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

 private:
  boost::asio::io_context& loop_;
  const boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

}  // namespace soak

#endif  // TESTS_SOAK_LOOP_THREAD_H_
