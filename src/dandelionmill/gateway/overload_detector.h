#ifndef SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_
#define SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_

#include <chrono>
#include <cstdint>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Measures the load of this instance's network link and of its share of the
// processor. When they are full, new connections should go to other instances,
// and of the open ones the part above what the instance bears; the rest stays,
// so that the callers do not all fall on the next instance. An instance that is
// overloaded again soon after it came back stays away for longer each time: the
// balancer prefers the same instance for a caller each time, so a caller that
// is too large for it settles at one that bears it. Pure.
class OverloadDetector {
 public:
  // `link_bits_per_s` is the rate of the instance's link in each direction; 0
  // if unknown.
  explicit OverloadDetector(double link_bits_per_s)
      : link_bits_per_s_(link_bits_per_s) {}

  // Commands.
  void OnReceived(std::size_t bytes) { received_bytes_ += bytes; }
  void OnSent(std::size_t bytes) { sent_bytes_ += bytes; }
  // Opening a connection to a backend server has taken `duration`. While even
  // the fastest take long, packets wait on the link.
  void OnConnect(std::chrono::milliseconds duration);
  // Opening a connection has timed out after `duration`. That says nothing of
  // the link unless much is sent on it: the instance may be partitioned from
  // the backend servers.
  void OnConnectTimedOut(std::chrono::milliseconds duration);
  // Call every `period`. The delay of the call shows the load of the processor.
  // `backlog_share` is that of the event loop, see LoopRunner.
  void Tick(base::MonoTime now,
            std::chrono::milliseconds period,
            double backlog_share);

  // Queries.
  // Whether packets wait so long on the instance's link that the time-out of a
  // connection says nothing about its backend server.
  bool is_link_queued() const;
  // Whether new connections should go to other instances.
  bool is_overloaded() const { return is_overloaded_; }
  // Share of the responses after which the caller's connection should be
  // closed, from 0 to 1. 0 until the balancer has noticed that the instance
  // takes no new connections, since the caller would come back.
  double CloseShare(base::MonoTime now) const;
  // Share of the new requests that should be rejected at once, from 0 to 1: the
  // others would wait for them, and their callers give up. Their retries reach
  // other instances once the balancer has noticed.
  double RejectShare() const;
  // Load of the link relative to what it carries without queues, over the last
  // half second: 1 when full.
  double recent_link_load() const;
  // Utilization of the link in the busier direction, as an exponential moving
  // average, and what Tick was given last, both from 0 to 1.
  double link_use() const { return link_use_; }
  double backlog_share() const { return backlog_share_; }
  // Time that the fastest connections to backend servers took of late.
  std::chrono::milliseconds connect_delay() const { return connect_delay_; }

 private:
  // Load relative to what the instance bears without queues: 1 when full.
  double Load() const;
  // Whether the balancer gives new connections to other instances by now.
  bool IsOutOfRotation(base::MonoTime now) const;
  void BeginOverload(base::MonoTime now);
  void MeasureConnectDelay();

  const double link_bits_per_s_;
  std::uint64_t received_bytes_ = 0;
  std::uint64_t sent_bytes_ = 0;
  base::MonoTime last_tick_{};
  double link_use_ = 0;
  // The same over a shorter time.
  double recent_link_use_ = 0;
  double backlog_share_ = 0;
  std::chrono::milliseconds connect_delay_{0};
  // Connections since the last tick, and the time that the fastest took.
  int connect_count_ = 0;
  std::chrono::milliseconds fastest_connect_{0};
  // The same of the last tick before with enough connections.
  std::chrono::milliseconds fastest_of_previous_tick_{0};
  int consecutive_late_ticks_ = 0;
  bool is_overloaded_ = false;
  base::MonoTime overloaded_since_{};
  base::MonoTime overload_ended_at_{};
  // Least time from the beginning of the overload to its end.
  std::chrono::milliseconds min_overload_time_{0};
  base::MonoTime recovering_since_{};
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_OVERLOAD_DETECTOR_H_
