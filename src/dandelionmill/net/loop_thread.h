#ifndef SRC_DANDELIONMILL_NET_LOOP_THREAD_H_
#define SRC_DANDELIONMILL_NET_LOOP_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace dandelionmill::net {

// Runs an event loop on its own thread. The destructor stops the loop and joins
// the thread.
class LoopThread {
 public:
  LoopThread()
      : loop_(1),
        work_guard_(loop_.get_executor()),
        thread_([this] { loop_.run(); }) {}
  ~LoopThread() {
    loop_.stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  boost::asio::io_context& loop() { return loop_; }

 private:
  boost::asio::io_context loop_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::thread thread_;
};

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_LOOP_THREAD_H_
