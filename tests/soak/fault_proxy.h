#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <vector>

namespace soak {

// A TCP proxy on the loopback interface that injects link faults. All methods
// that change its state are thread-safe. The loop must have been stopped, and
// the thread that ran it joined, before a proxy is destroyed.
class FaultProxy {
 public:
  // Listens on `port` and forwards each connection to port `target`. Throws
  // boost::system::system_error if the port is in use. If `ends_with_target`,
  // the proxy refuses connections once the target has crashed, as the target
  // itself does.
  FaultProxy(boost::asio::io_context& loop,
             int port,
             int target,
             bool ends_with_target = false);
  // Ends the process if the loop has not been stopped, as handlers on its
  // thread may be using the proxy.
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Pauses forwarding towards the target, or towards the client. Data is
  // delayed, not lost, as on a link where TCP retransmits lost packets.
  void PauseUpstream(bool paused) { upstream_.is_paused = paused; }
  void PauseDownstream(bool paused) { downstream_.is_paused = paused; }
  // Delays each chunk that is read by `delay`.
  void SetDelay(std::chrono::milliseconds delay) { delay_ms_ = delay.count(); }
  // Limits each direction of the link to `rate` bytes per second, which all
  // connections share; 0 for no limit. Restore keeps the limit.
  void SetBytesPerSecond(std::size_t rate) { bytes_per_s_ = rate; }
  // Closes all open connections with a TCP reset.
  void Reset();
  // Refuses new connections until StopRefusing, and resets the open ones.
  void Refuse();
  // Accepts connections again after Refuse, unless the target has crashed.
  void StopRefusing();
  // Names all proxies to the target, this one included. They refuse connections
  // together once one of them finds that the target has crashed.
  void ShareTarget(std::vector<FaultProxy*> proxies);
  // Looks whether the target has crashed.
  void CheckTarget();
  // Accepts connections again after a crash of the target, which has started
  // again, unless Refuse is in force.
  void TargetReturned();
  // Clears all pauses and the delay.
  void Restore();

 private:
  class Connection;

  // One direction of the link.
  struct Channel {
    std::atomic<bool> is_paused{false};
    // When the bytes forwarded so far have passed the bandwidth limit. Used on
    // the loop only.
    std::chrono::steady_clock::time_point free_at{};
  };

  void Accept();
  // Refuses connections from now on if the target has crashed, as the other
  // proxies to it do.
  void CloseIfTargetRefuses();
  // Listens again unless that is not to be.
  void Reopen();
  // Returns how long to hold `bytes` that were read just now.
  std::chrono::microseconds DelayOf(Channel& channel, std::size_t bytes) const;

  boost::asio::io_context& loop_;
  const int port_;
  // Used on the loop only.
  bool is_target_gone_ = false;
  bool is_refusing_ = false;
  std::vector<FaultProxy*> sharing_{this};
  boost::asio::ip::tcp::acceptor acceptor_;
  const int target_;
  const bool ends_with_target_;
  Channel upstream_;
  Channel downstream_;
  std::atomic<std::size_t> bytes_per_s_{0};
  std::atomic<std::int64_t> delay_ms_{0};
  std::list<std::weak_ptr<Connection>> connections_;
};

}  // namespace soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
