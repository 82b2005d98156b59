#ifndef TESTS_PROPERTY_ROUTING_FLEET_MODEL_H_
#define TESTS_PROPERTY_ROUTING_FLEET_MODEL_H_

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/routing/dispatcher.h"
#include "tests/unit/routing/dispatcher_fixture.h"

namespace routing_test {

inline const std::string kCrashingBody = "marked";

// Simulates several routers that share backend servers. Callers send harmless
// bodies, and one caller sends a body that crashes every backend server that
// runs it. Routers receive each other's records after a random delay.
class FleetModel {
 public:
  struct Options {
    int routers = 1;
    unsigned seed = 1;
    // Maximum delay of a record on its way to another router.
    milliseconds max_propagation{250};
    // Copies of the crashing body sent without waiting for an answer.
    int concurrent_copies = 1;
    // How often its caller resends it after a refusal.
    int resends = 5;
  };

  FleetModel(inventory::Core core, Options options)
      : options_(options), random_(options.seed) {
    for (int i = 0; i < options.routers; ++i) {
      routers_.emplace_back(base::ZoneId("n1"), options.seed + i);
      routers_.back().OnConfig(SnapshotOf(core), now_);
    }
  }

  void Run(milliseconds length, milliseconds mean_interval) {
    const base::MonoTime end = now_ + length;
    for (base::MonoTime at = now_; at < end;
         at += RandomUpTo(2 * mean_interval))
      Schedule(at, [this] { SendHarmless(); });
    for (int i = 0; i < options_.concurrent_copies; ++i)
      Schedule(now_ + RandomUpTo(milliseconds(500)),
               [this] { SendCrashing(); });
    for (base::MonoTime at = now_; at < end + seconds(120);
         at += milliseconds(50)) {
      Schedule(at, [this] {
        for (int i = 0; i < options_.routers; ++i)
          Apply(i, routers_[i].OnTick(now_));
      });
    }
    while (!events_.empty()) {
      const auto event = events_.begin();
      now_ = event->first;
      const auto action = event->second;
      events_.erase(event);
      action();
    }
  }

  int crashes() const { return crashes_; }
  // Number of routers that dispatched the crashing body before they received
  // the record of its first crash.
  int unaware_routers() const { return static_cast<int>(unaware_.size()); }
  int harmless_quarantined() const { return harmless_quarantined_; }
  int harmless_completed() const { return harmless_completed_; }
  int harmless_refused() const { return harmless_refused_; }
  int crashing_refused() const { return crashing_refused_; }

 private:
  struct Sent {
    int router = 0;
    bool crashing = false;
    bool running = false;
    base::BackendId backend;
    int attempt = 0;
  };

  milliseconds RandomUpTo(milliseconds max) {
    return milliseconds(std::uniform_int_distribution<int>(
        0, static_cast<int>(max.count()))(random_));
  }
  void Schedule(base::MonoTime at, std::function<void()> action) {
    events_.emplace(at, std::move(action));
  }

  void Send(bool crashing) {
    const int router = static_cast<int>(random_() % routers_.size());
    const auto number = ++last_number_;
    sent_[number] = {router, crashing, false, {}, 0};
    routing::Request request = RequestOf(number);
    request.body_sha256 =
        crashing ? kCrashingBody : "harmless-" + std::to_string(number);
    request.replayable = true;
    request.deadline = now_ + seconds(60);
    Apply(router, routers_[router].Submit(request, now_));
  }
  void SendHarmless() { Send(false); }
  void SendCrashing() { Send(true); }

  void Apply(int router, const routing::Decisions& decisions) {
    for (const auto& decision : decisions) {
      if (const auto* dispatch = std::get_if<routing::Dispatch>(&decision))
        OnDispatch(*dispatch);
      else
        OnRefuse(std::get<routing::Refuse>(decision));
    }
    for (const auto& record : routers_[router].TakeChangedQuarantines()) {
      if (record.body_sha256 == kCrashingBody)
        informed_.insert(router);
      for (int other = 0; other < options_.routers; ++other) {
        if (other == router)
          continue;
        Schedule(now_ + RandomUpTo(options_.max_propagation),
                 [this, other, record] {
                   if (record.body_sha256 == kCrashingBody)
                     informed_.insert(other);
                   Apply(other, routers_[other].MergeQuarantine(record, now_));
                 });
      }
    }
  }

  void OnDispatch(const routing::Dispatch& dispatch) {
    Sent& sent = sent_.at(dispatch.number);
    sent.running = true;
    sent.backend = dispatch.backend;
    const int attempt = ++sent.attempt;
    const auto number = dispatch.number;
    if (sent.crashing) {
      if (informed_.count(sent.router) == 0)
        unaware_.insert(sent.router);
      Schedule(now_ + RandomUpTo(milliseconds(800)),
               [this, number, attempt] { Crash(number, attempt); });
    } else {
      Schedule(now_ + milliseconds(100) + RandomUpTo(milliseconds(2000)),
               [this, number, attempt] {
                 End(number, attempt, routing::AttemptResult::kCompleted);
               });
    }
  }

  void Crash(routing::RequestNumber number, int attempt) {
    const Sent& cause = sent_.at(number);
    if (!cause.running || cause.attempt != attempt)
      return;
    ++crashes_;
    for (auto& [other, sent] : sent_) {
      if (sent.running && sent.backend == cause.backend) {
        // The attempt stops immediately; its router detects that after a delay.
        const int lost_attempt = ++sent.attempt;
        const auto lost_number = other;
        Schedule(now_ + RandomUpTo(milliseconds(50)), [=] {
          End(lost_number, lost_attempt, routing::AttemptResult::kCrashed);
        });
      }
    }
  }

  void End(routing::RequestNumber number,
           int attempt,
           routing::AttemptResult ending) {
    Sent& sent = sent_.at(number);
    if (!sent.running || sent.attempt != attempt)
      return;
    sent.running = false;
    if (ending == routing::AttemptResult::kCompleted)
      ++harmless_completed_;
    Apply(sent.router,
          routers_[sent.router].OnAttemptEnded(number, ending, false, now_));
  }

  void OnRefuse(const routing::Refuse& refuse) {
    const Sent& sent = sent_.at(refuse.number);
    if (sent.crashing) {
      ++crashing_refused_;
      if (resent_++ < options_.resends) {
        Schedule(now_ + RandomUpTo(milliseconds(2000)),
                 [this] { SendCrashing(); });
      }
      return;
    }
    ++harmless_refused_;
    if (refuse.error.code == base::Code::kQuarantined)
      ++harmless_quarantined_;
  }

  const Options options_;
  std::mt19937 random_;
  std::vector<routing::Dispatcher> routers_;
  base::MonoTime now_ = At(milliseconds(0));
  std::multimap<base::MonoTime, std::function<void()>> events_;
  std::map<routing::RequestNumber, Sent> sent_;
  routing::RequestNumber last_number_ = 0;
  std::set<int> informed_;
  std::set<int> unaware_;
  int crashes_ = 0;
  int resent_ = 0;
  int crashing_refused_ = 0;
  int harmless_completed_ = 0;
  int harmless_refused_ = 0;
  int harmless_quarantined_ = 0;
};

}  // namespace routing_test

#endif  // TESTS_PROPERTY_ROUTING_FLEET_MODEL_H_
