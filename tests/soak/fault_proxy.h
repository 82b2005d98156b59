#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <list>
#include <memory>

namespace soak {

// A loopback link that can be made worse: passes TCP connections on to a port
// behind it. Commands are safe from any thread.
class FaultProxy {
 public:
  // Listens on `port` and connects to `target` for each connection. Throws
  // boost::system::system_error when the port is taken.
  FaultProxy(boost::asio::io_context& loop, int port, int target);

  // Holds back what goes from the connecting side to the other, or back, until
  // lifted: nothing is lost, as on a link whose packets are repeated.
  void HoldUp(bool hold) { holds_up_ = hold; }
  void HoldDown(bool hold) { holds_down_ = hold; }
  // Time that each piece is held back.
  void SetDelay(std::chrono::milliseconds delay) { delay_ms_ = delay.count(); }
  // Resets the connections that are open now.
  void Reset();
  // Lifts everything.
  void Heal();

 private:
  class Connection;

  void Accept();

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const int target_;
  std::atomic<bool> holds_up_{false};
  std::atomic<bool> holds_down_{false};
  std::atomic<std::int64_t> delay_ms_{0};
  std::list<std::weak_ptr<Connection>> connections_;
};

}  // namespace soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
