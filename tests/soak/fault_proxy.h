#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <list>
#include <memory>

namespace soak {

// A TCP proxy on the loopback interface that injects link faults. All methods
// that change its state are thread-safe.
class FaultProxy {
 public:
  // Listens on `port` and forwards each connection to port `target`. Throws
  // boost::system::system_error if the port is in use.
  FaultProxy(boost::asio::io_context& loop, int port, int target);

  // Pauses forwarding towards the target, or towards the client. Data is
  // delayed, not lost, as on a link where TCP retransmits lost packets.
  void PauseUpstream(bool paused) { is_upstream_paused_ = paused; }
  void PauseDownstream(bool paused) { is_downstream_paused_ = paused; }
  // Delays each chunk that is read by `delay`.
  void SetDelay(std::chrono::milliseconds delay) { delay_ms_ = delay.count(); }
  // Closes all open connections with a TCP reset.
  void Reset();
  // Clears all pauses and the delay.
  void Restore();

 private:
  class Connection;

  void Accept();

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const int target_;
  std::atomic<bool> is_upstream_paused_{false};
  std::atomic<bool> is_downstream_paused_{false};
  std::atomic<std::int64_t> delay_ms_{0};
  std::list<std::weak_ptr<Connection>> connections_;
};

}  // namespace soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
