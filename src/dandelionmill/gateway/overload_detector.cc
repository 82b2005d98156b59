#include "dandelionmill/gateway/overload_detector.h"

#include <algorithm>

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration;

// Utilization above which bursts make queues grow.
constexpr double kFullLinkUse = 0.6;
constexpr double kFullBacklogShare = 0.55;

// Time to open a connection above which the link counts as full: twice a
// handshake between regions, with some time at the backend server.
constexpr std::chrono::milliseconds kFullConnectDelay{80};

// Time to open a connection above which a time-out says nothing about the
// backend server.
constexpr std::chrono::milliseconds kQueuedConnectDelay{200};

// Utilization of the link above which connections that time out show a queue.
constexpr double kQueuedLinkUse = 0.25;

// Connections in one tick without which the fastest says nothing, and weight of
// a tick without them.
constexpr int kMinConnects = 2;
constexpr double kConnectDelayDecay = 0.8;

// Load, relative to a full link or processor, above which the instance is
// overloaded, below which that ends, and above which requests are rejected.
constexpr double kOverload = 1;
constexpr double kRecoveryLoad = 0.6;
constexpr double kRejectLoad = 1.25;

// Most responses after which the connection is closed, and most requests that
// are rejected, so that the estimate can follow.
constexpr double kMaxCloseShare = 0.25;
constexpr double kMaxRejectShare = 0.5;

// Weight of one tick in the moving average of the link utilization.
constexpr double kLinkUseSmoothing = 0.3;
// The same for the decision on single requests, which costs a caller less than
// one on all its connections.
constexpr double kRecentLinkUseSmoothing = 0.6;

// Delay of a tick, and number of consecutive ticks that late, that indicate an
// overloaded processor, and the load that they stand for.
constexpr std::chrono::milliseconds kMinTickDelay{120};
constexpr int kOverloadLateTicks = 3;
constexpr double kLateTicksLoad = 2;

// How long the load must be below the limit before the overload ends.
constexpr std::chrono::milliseconds kRecoveryTime{1000};

// Least duration of the first overload and of any, and the time from its end
// within which the next one counts as a relapse, which prolongs it: the callers
// that came back are badly served for some seconds each time.
constexpr std::chrono::milliseconds kFirstOverloadTime{3000};
constexpr int kRelapseFactor = 4;
constexpr std::chrono::milliseconds kMaxOverloadTime{240000};
constexpr std::chrono::milliseconds kRelapseTime{8000};

// Time in which the balancer notices that an instance is not ready: two checks
// one second apart.
constexpr std::chrono::milliseconds kBalancerNoticeTime{2000};

}  // namespace

void OverloadDetector::OnConnect(std::chrono::milliseconds duration) {
  fastest_connect_ =
      connect_count_ == 0 ? duration : std::min(fastest_connect_, duration);
  ++connect_count_;
}

void OverloadDetector::OnConnectTimedOut(std::chrono::milliseconds duration) {
  if (link_use_ > kQueuedLinkUse)
    OnConnect(duration);
}

void OverloadDetector::Tick(base::MonoTime now,
                            std::chrono::milliseconds period,
                            double backlog_share) {
  const double bits =
      8.0 * static_cast<double>(std::max(received_bytes_, sent_bytes_));
  received_bytes_ = 0;
  sent_bytes_ = 0;
  backlog_share_ = backlog_share;
  const bool is_first = last_tick_ == base::MonoTime();
  const duration<double> elapsed = now - last_tick_;
  last_tick_ = now;
  if (is_first)
    return;
  if (link_bits_per_s_ > 0 && elapsed.count() > 0) {
    const double use = bits / elapsed.count() / link_bits_per_s_;
    link_use_ += kLinkUseSmoothing * (use - link_use_);
    recent_link_use_ += kRecentLinkUseSmoothing * (use - recent_link_use_);
  }
  MeasureConnectDelay();
  consecutive_late_ticks_ =
      elapsed > period + kMinTickDelay ? consecutive_late_ticks_ + 1 : 0;
  const double load = Load();
  if (load > kOverload && !is_overloaded_)
    BeginOverload(now);
  if (load >= kRecoveryLoad || consecutive_late_ticks_ > 0)
    recovering_since_ = now;
  else if (is_overloaded_ && now - recovering_since_ >= kRecoveryTime &&
           now - overloaded_since_ >= min_overload_time_) {
    is_overloaded_ = false;
    overload_ended_at_ = now;
  }
}

void OverloadDetector::MeasureConnectDelay() {
  if (connect_count_ < kMinConnects) {
    connect_delay_ = std::chrono::duration_cast<std::chrono::milliseconds>(
        kConnectDelayDecay * connect_delay_);
  } else {
    // A few connections of one tick may all be to servers that went dark.
    connect_delay_ = std::min(fastest_connect_, fastest_of_previous_tick_);
    fastest_of_previous_tick_ = fastest_connect_;
  }
  connect_count_ = 0;
}

void OverloadDetector::BeginOverload(base::MonoTime now) {
  const bool is_relapse = overload_ended_at_ != base::MonoTime() &&
                          now - overload_ended_at_ < kRelapseTime;
  min_overload_time_ =
      is_relapse
          ? std::min(kMaxOverloadTime, kRelapseFactor * min_overload_time_)
          : kFirstOverloadTime;
  is_overloaded_ = true;
  overloaded_since_ = now;
}

bool OverloadDetector::IsOutOfRotation(base::MonoTime now) const {
  return is_overloaded_ && now - overloaded_since_ >= kBalancerNoticeTime;
}

double OverloadDetector::Load() const {
  const double late_ticks_load =
      consecutive_late_ticks_ >= kOverloadLateTicks ? kLateTicksLoad : 0;
  return std::max({link_use_ / kFullLinkUse, backlog_share_ / kFullBacklogShare,
                   duration<double>(connect_delay_) / kFullConnectDelay,
                   late_ticks_load});
}

double OverloadDetector::recent_link_load() const {
  const double by_use = recent_link_use_ / kFullLinkUse;
  // Slow connections say nothing about a link on which little is sent.
  if (recent_link_use_ <= kQueuedLinkUse)
    return by_use;
  return std::max(by_use, duration<double>(connect_delay_) / kFullConnectDelay);
}

double OverloadDetector::CloseShare(base::MonoTime now) const {
  const double load = Load();
  return load <= 1 || !IsOutOfRotation(now)
             ? 0
             : std::min(kMaxCloseShare, 1 - 1 / load);
}

double OverloadDetector::RejectShare() const {
  const double load = Load();
  return load <= kRejectLoad || !is_overloaded_
             ? 0
             : std::min(kMaxRejectShare, 1 - kRejectLoad / load);
}

bool OverloadDetector::is_link_queued() const {
  return connect_delay_ > kQueuedConnectDelay;
}

}  // namespace dandelionmill::gateway
