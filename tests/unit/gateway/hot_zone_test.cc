#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/gateway/overload_detector.h"

// A zone at four times its usual traffic, most of it from a few callers: twelve
// instances, of which ten have a link of 10 Mbit/s and two one of 200 Mbit/s.
// The balancer binds a caller's new connections to one instance that is ready.

namespace {

using dandelionmill::base::MonoTime;
using dandelionmill::gateway::OverloadDetector;
using std::chrono::milliseconds;

constexpr milliseconds kTick{250};
constexpr int kTicksPerS = 4;
constexpr double kRequestBits = 48000;
// Requests per second of one connection.
constexpr double kConnectionRate = 2;
// Longest queue on a link, in seconds, with which a request is in time.
constexpr double kMaxQueueS = 0.25;
// Share of the requests after which the caller opens a new connection anyway.
constexpr double kOwnCloseShare = 0.1;

class Zone {
 public:
  Zone() {
    for (int i = 0; i < 12; ++i)
      instances_.emplace_back(i < 2 ? 200e6 : 10e6);
    // Connections per caller; about 470 requests per second in all.
    for (const int count : {120, 60, 20, 8, 6, 5, 4, 3, 3, 2, 2}) {
      const int caller = static_cast<int>(callers_++);
      for (int i = 0; i < count; ++i)
        connections_.push_back({caller, 0});
    }
    for (Connection& connection : connections_)
      connection.instance = Balance(connection.caller);
  }

  void Run(int seconds) {
    for (int tick = 0; tick < seconds * kTicksPerS; ++tick) {
      now_ += kTick;
      if (tick % kTicksPerS == 0)
        CheckReadiness();
      for (Connection& connection : connections_)
        Play(connection);
      for (Instance& instance : instances_)
        instance.Tick(now_);
    }
  }

  double served_share() const { return served_ / std::max(1.0, sent_); }
  // Most times that an instance which was full had almost no load at most two
  // seconds later.
  int collapses() const {
    int most = 0;
    for (const Instance& instance : instances_)
      most = std::max(most, instance.collapses);
    return most;
  }

 private:
  struct Instance {
    explicit Instance(double bits_per_s)
        : link(bits_per_s), detector(bits_per_s) {}

    // Returns whether a request in this tick is in time.
    bool Take() {
      queued_bits += kRequestBits;
      ++requests;
      detector.OnReceived(static_cast<std::size_t>(kRequestBits / 8));
      return queued_bits / link < kMaxQueueS + 1.0 / kTicksPerS;
    }
    void Tick(MonoTime now) {
      queued_bits = std::max(0.0, queued_bits - link / kTicksPerS);
      detector.Tick(now, kTick, 0);
      history.push_back(requests * kRequestBits * kTicksPerS / link);
      requests = 0;
      if (history.size() > 2 * kTicksPerS) {
        const double before = history.front();
        history.pop_front();
        if (before > 0.6 && history.back() < 0.06) {
          ++collapses;
          history.clear();
        }
      }
    }

    double link;
    OverloadDetector detector;
    double queued_bits = 0;
    int requests = 0;
    int misses = 0;
    int collapses = 0;
    std::deque<double> history;
  };
  struct Connection {
    int caller;
    std::size_t instance;
  };

  bool Draw(double share) {
    return std::bernoulli_distribution(share)(random_);
  }

  void CheckReadiness() {
    for (Instance& instance : instances_)
      instance.misses =
          instance.detector.is_overloaded() ? instance.misses + 1 : 0;
  }

  // Each caller prefers the instances in an order of its own; the first one in
  // rotation is taken.
  std::size_t Balance(int caller) {
    std::vector<std::size_t> rotation;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].misses < 2)
        rotation.push_back(i);
    }
    if (rotation.size() * 2 < instances_.size()) {
      rotation.clear();
      for (std::size_t i = 0; i < instances_.size(); ++i)
        rotation.push_back(i);
    }
    const auto rank = [caller](std::size_t instance) {
      return dandelionmill::base::StableHash(std::to_string(caller) + "/" +
                                             std::to_string(instance));
    };
    return *std::max_element(
        rotation.begin(), rotation.end(),
        [&](std::size_t a, std::size_t b) { return rank(a) < rank(b); });
  }

  void Play(Connection& connection) {
    if (!Draw(kConnectionRate / kTicksPerS))
      return;
    ++sent_;
    Instance& first = instances_[connection.instance];
    if (Draw(first.detector.RejectShare())) {
      // The retry takes a new connection.
      connection.instance = Balance(connection.caller);
      served_ += instances_[connection.instance].Take() ? 1 : 0;
      return;
    }
    served_ += first.Take() ? 1 : 0;
    if (Draw(std::max(kOwnCloseShare, first.detector.CloseShare(now_))))
      connection.instance = Balance(connection.caller);
  }

  MonoTime now_{std::chrono::hours(1)};
  std::mt19937_64 random_{7};
  std::vector<Instance> instances_;
  std::vector<Connection> connections_;
  std::size_t callers_ = 0;
  double sent_ = 0;
  double served_ = 0;
};

}  // namespace

TEST_CASE("A zone at four times its traffic is served without oscillation",
          "[gateway][hot_zone]") {
  Zone zone;
  zone.Run(60);
  CHECK(zone.served_share() > 0.95);
  CHECK(zone.collapses() == 0);
}
