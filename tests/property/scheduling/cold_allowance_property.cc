#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "dandelionmill/scheduling/cold_allowance.h"
#include "tests/property/rapidcheck_cases.h"

namespace base = dandelionmill::base;
using dandelionmill::gateway::BackendEntry;
using dandelionmill::scheduling::ColdAllowance;
using std::chrono::milliseconds;

namespace {

const DefaultCases kCases(200);

constexpr int kStepMs = 5;
constexpr int kPlayMs = 30000;
// A start of the server after this is its last one.
constexpr int kLastStartMs = 10000;

base::BootTime At(int ms) {
  return base::BootTime(std::chrono::hours(1)) + milliseconds(ms);
}

struct Connection {
  int process = 0;
  int opened_at = 0;
};

// A request, health check or response on its way.
struct Message {
  enum class Kind { kConnect, kCheck, kRequest, kResponse } kind;
  std::size_t instance;
  Connection connection;
  int arrives_at;
  int sent_at = 0;
  // What the server said of its cold state; -1 if it does not answer.
  int remaining = 0;
};

// One server and a fleet that floods it. The server fails without notice and
// comes back cold, mostly under the same id with an old entry.
class Play {
 public:
  Play(unsigned seed, int instances, double rate)
      : random_(seed),
        fleet_(static_cast<std::size_t>(instances)),
        connections_(fleet_.size()),
        frozen_until_(fleet_.size(), 0) {
    for (ColdAllowance& instance : fleet_)
      instance.SetServices({{Entry().service, {rate, milliseconds(3000)}}});
    // Half of the instances may still have the list from before a change.
    const int changed = Draw(0, instances);
    for (std::size_t self = 0; self < fleet_.size(); ++self) {
      const bool has_old_view = Draw(0, 1) == 0;
      std::vector<base::InstanceId> others;
      for (int other = 0; other < instances; ++other) {
        const bool is_listed = has_old_view ? other >= changed / 2
                                            : other <= instances - changed / 2;
        if (other != static_cast<int>(self) && is_listed)
          others.emplace_back("front-" + std::to_string(other));
      }
      if (has_old_view)
        others.emplace_back("front-gone");
      const base::InstanceId id("front-" + std::to_string(self));
      // Those outside of the new list have just started.
      fleet_[self].SetInstances(id, others, At(Draw(-12000, -8000)));
      fleet_[self].SetInstances(id, others, At(-1000));
    }
  }

  // Returns the largest number of requests in one second to a cold server.
  int Run() {
    for (int now = 0; now < kPlayMs; now += kStepMs) {
      MoveServer(now);
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        if (Draw(0, 20000) == 0)
          frozen_until_[i] = now + Draw(100, 3000);
        if (now >= frozen_until_[i] &&
            Draw(0, static_cast<int>(fleet_.size()) / 8) == 0)
          Choose(i, now);
      }
      Deliver(now);
    }
    return most_;
  }

  int served() const { return served_; }

 private:
  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }

  bool IsUp(int now) const { return now >= up_at_ && now < down_at_; }

  BackendEntry Entry() const {
    BackendEntry entry;
    entry.id = base::BackendId("engine");
    entry.service = base::ServiceId("model");
    entry.incarnation = entry_process_;
    entry.remaining_warm_up = milliseconds(entry_remaining_);
    return entry;
  }

  void MoveServer(int now) {
    if (now >= down_at_) {
      ++process_;
      up_at_ = now + Draw(1000, 5000);
      cold_until_ = up_at_ + 3000;
      down_at_ = up_at_ >= kLastStartMs ? kPlayMs : up_at_ + Draw(2000, 9000);
    }
    // A new entry is written late and read later, or its reading is lost.
    if (entry_process_ != process_ && IsUp(now) && Draw(0, 100) == 0) {
      entry_process_ = process_;
      entry_remaining_ = std::max(0, cold_until_ - now);
    }
    for (ColdAllowance& instance : fleet_) {
      if (Draw(0, 100) == 0)
        instance.OnEntry(Entry(), At(now));
    }
  }

  void Choose(std::size_t i, int now) {
    ColdAllowance& instance = fleet_[i];
    if (!instance.Admits(Entry(), At(now)))
      return;
    instance.Reserve(Entry(), At(now));
    const bool is_reused = !connections_[i].empty() && Draw(0, 1) == 0;
    Message message{Message::Kind::kConnect, i, {}, now + Draw(0, 300), now};
    if (is_reused) {
      message.connection = connections_[i].back();
      connections_[i].pop_back();
      message.arrives_at = now;
    } else {
      message.connection.process = -1;
    }
    messages_.push_back(message);
  }

  void Deliver(int now) {
    std::vector<Message> due;
    std::vector<Message> later;
    for (const Message& message : messages_) {
      const bool is_frozen = message.kind != Message::Kind::kRequest &&
                             now < frozen_until_[message.instance];
      (message.arrives_at <= now && !is_frozen ? due : later)
          .push_back(message);
    }
    messages_ = std::move(later);
    for (Message& message : due)
      Handle(message, now);
  }

  void Lose(std::size_t i, int now) {
    // Some instances do not notice.
    if (Draw(0, 1) == 0) {
      fleet_[i].OnUnobserved(Entry().id, ColdAllowance::Source::kConnectionLost,
                             At(now));
    }
  }

  void Handle(Message& message, int now) {
    ColdAllowance& instance = fleet_[message.instance];
    switch (message.kind) {
      case Message::Kind::kConnect:
        if (message.connection.process == -1) {
          if (!IsUp(now)) {
            Lose(message.instance, now);
            return;
          }
          message.connection = {process_, now};
        }
        if (instance.NeedsCheck(Entry(), At(message.connection.opened_at),
                                At(now))) {
          message.kind = Message::Kind::kCheck;
          message.sent_at = now;
          message.arrives_at = now + Draw(0, 100);
          const bool answers = message.connection.process == process_ &&
                               IsUp(now) && Draw(0, 9) != 0;
          message.remaining = answers ? std::max(0, cold_until_ - now) : -1;
          messages_.push_back(message);
          return;
        }
        Send(message, now);
        return;
      case Message::Kind::kCheck:
        instance.OnChecked(Entry(),
                           {message.remaining >= 0,
                            message.remaining > 0
                                ? std::optional(milliseconds(message.remaining))
                                : std::nullopt,
                            At(message.sent_at)},
                           At(now));
        if (message.remaining >= 0)
          Send(message, now);
        return;
      case Message::Kind::kRequest:
        Receive(message, now);
        return;
      case Message::Kind::kResponse:
        connections_[message.instance].push_back(message.connection);
        // Half of the responses do not name the cold state, some come twice.
        for (int copies = Draw(1, 2); copies > 0; --copies) {
          const bool is_named = message.remaining > 0 && Draw(0, 1) == 0;
          instance.OnResponse(
              Entry(),
              is_named ? std::optional(milliseconds(message.remaining))
                       : std::nullopt,
              At(message.connection.opened_at), At(message.sent_at), At(now));
        }
        return;
    }
  }

  void Send(Message message, int now) {
    if (!fleet_[message.instance].TrySend(Entry(), At(now)))
      return;
    message.kind = Message::Kind::kRequest;
    message.sent_at = now;
    message.arrives_at = now + Draw(1, 40);
    messages_.push_back(message);
  }

  void Receive(Message message, int now) {
    if (message.connection.process != process_ || !IsUp(now)) {
      Lose(message.instance, now);
      return;
    }
    ++served_;
    if (now < cold_until_) {
      arrivals_.push_back(now);
      while (arrivals_.front() <= now - 1000)
        arrivals_.pop_front();
      most_ = std::max(most_, static_cast<int>(arrivals_.size()));
    }
    if (Draw(0, 9) == 0)
      return;
    message.kind = Message::Kind::kResponse;
    message.remaining = std::max(0, cold_until_ - now);
    message.arrives_at = now + Draw(10, 800);
    messages_.push_back(message);
  }

  std::mt19937 random_;
  std::vector<ColdAllowance> fleet_;
  std::vector<std::vector<Connection>> connections_;
  std::vector<int> frozen_until_;
  std::vector<Message> messages_;
  std::deque<int> arrivals_;
  int process_ = 1;
  int entry_process_ = 1;
  int entry_remaining_ = 0;
  int up_at_ = 0;
  int down_at_ = 2500;
  int cold_until_ = 0;
  int most_ = 0;
  int served_ = 0;
};

// Instances that start, end and read the list of instances at different times,
// or cannot read it, while all send to a cold server what they may.
class Fleet {
 public:
  Fleet(unsigned seed, std::size_t size, double rate)
      : random_(seed), rate_(rate), processes_(size) {
    entry_.id = base::BackendId("engine");
    entry_.service = base::ServiceId("model");
    entry_.remaining_warm_up = milliseconds(10 * kPlayMs);
    for (Process& process : processes_)
      Start(process, Draw(0, 2000));
  }

  // Returns the largest number of requests in one second.
  int Run() {
    const int replaced_at = Draw(1200, 3000) * kStepMs;
    // How many of ten instances are replaced within a second, and how many of
    // ten replaced ones have lost the store and run on.
    const int replaced = Draw(1, 10);
    const int lost = Draw(0, 10);
    std::deque<int> arrivals;
    int most = 0;
    for (int now = 0; now < kPlayMs; now += kStepMs) {
      for (Process& process : processes_) {
        if (now == replaced_at && Draw(1, 10) <= replaced) {
          if (Draw(1, 10) <= lost)
            lost_.push_back(process.allowance);
          Start(process, now + Draw(0, 1000));
        }
        if (now < process.started_at)
          continue;
        if ((now - process.started_at) % kReadIntervalMs == 0)
          Read(process, now);
        Send(process.allowance, now, arrivals);
      }
      for (ColdAllowance& allowance : lost_)
        Send(allowance, now, arrivals);
      while (!arrivals.empty() && arrivals.front() <= now - 1000)
        arrivals.pop_front();
      most = std::max(most, static_cast<int>(arrivals.size()));
    }
    return most;
  }

 private:
  static constexpr int kReadIntervalMs = 2000;
  // A heartbeat is listed late, and for this long after the end of its
  // instance.
  static constexpr int kListedAfterMs = 1000;
  static constexpr int kListedForMs = 7000;

  struct Process {
    int id = 0;
    int started_at = 0;
    ColdAllowance allowance;
  };
  struct Ended {
    int id;
    int at;
  };

  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }

  void Start(Process& process, int at) {
    if (process.id != 0)
      ended_.push_back({process.id, at});
    process.id = ++last_id_;
    process.started_at = at - at % kStepMs;
    process.allowance = ColdAllowance();
    process.allowance.SetServices({{entry_.service, {rate_, milliseconds(1)}}});
    process.allowance.OnEntry(entry_, At(at));
  }

  void Read(Process& process, int now) {
    std::vector<base::InstanceId> others;
    const auto add = [&](int id) {
      if (id != process.id)
        others.emplace_back("front-" + std::to_string(id));
    };
    for (const Process& other : processes_) {
      if (now >= other.started_at + kListedAfterMs)
        add(other.id);
    }
    for (const Ended& ended : ended_) {
      if (now < ended.at + kListedForMs)
        add(ended.id);
    }
    process.allowance.SetInstances(
        base::InstanceId("front-" + std::to_string(process.id)), others,
        At(now));
  }

  void Send(ColdAllowance& allowance, int now, std::deque<int>& arrivals) {
    if (allowance.TrySend(entry_, At(now)))
      arrivals.push_back(now);
  }

  std::mt19937 random_;
  const double rate_;
  BackendEntry entry_;
  std::vector<Process> processes_;
  // Instances that were replaced and go on with what they knew.
  std::vector<ColdAllowance> lost_;
  std::vector<Ended> ended_;
  int last_id_ = 0;
};

}  // namespace

// Guards against shares that add up to more than the allowance since the
// instances do not agree on who has one.
TEST_CASE("The bound is kept while instances are replaced and lose the store",
          "[scheduling]") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<unsigned>();
    const auto size = *rc::gen::element<std::size_t>(1, 2, 5, 12, 25, 84);
    const double rate = *rc::gen::element(0.5, 3.0, 14.0, 40.0);
    const int most = Fleet(seed, size, rate).Run();
    RC_LOG() << size << " instances, rate " << rate << ": " << most
             << " in one second";
    RC_ASSERT(most <= rate * 1.5 + 5);
    RC_ASSERT(most > 0);
  }));
}

// Guards against a server that crashes because the instances together send more
// than it can take while it is cold: they know of its start at different times,
// and differ in what they know of each other.
TEST_CASE("A cold server never gets more than its bound in any one second",
          "[scheduling]") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<unsigned>();
    const int instances = *rc::gen::element(1, 2, 5, 12, 25, 84);
    const double rate = *rc::gen::element(0.5, 3.0, 14.0, 40.0);
    Play play(seed, instances, rate);
    const int most = play.Run();
    RC_LOG() << instances << " instances, rate " << rate << ": " << most
             << " in one second, served " << play.served();
    RC_ASSERT(most <= rate * 1.5 + 5);
    RC_ASSERT(play.served() > 0);
  }));
}
