#ifndef TESTS_PROPERTY_ORDERS_FLEET_OF_HOLDERS_H_
#define TESTS_PROPERTY_ORDERS_FLEET_OF_HOLDERS_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/orders/order_lease.h"
#include "dandelionmill/orders/order_planner.h"

namespace orders_test {

namespace base = dandelionmill::base;
namespace orders = dandelionmill::orders;
namespace storage = dandelionmill::storage;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates several controls that may send orders to the same engines. Controls
// pause between steps, the table store loses replies, orders arrive late, and
// some engines do not check the fencing number.
class FleetOfHolders {
 public:
  struct Options {
    unsigned seed = 1;
    int controls = 3;
    int engines = 6;
    bool pauses = true;
    int lost_answers_percent = 20;
    // Whether holders lose the table store permanently, except for the last
    // control. They send orders until their lease expires by their own clock.
    bool store_cuts = false;
    // Maximum delivery time of an order when no control is paused.
    milliseconds order_delay{300};
    // Period of repeated orders.
    milliseconds repeat{20000};
  };
  static constexpr int kMaxLoads = 2;

  explicit FleetOfHolders(Options options)
      : options_(options), random_(options.seed) {
    for (int i = 0; i < options.engines; ++i) {
      Engine engine;
      engine.checks_fence = i % 2 == 0;
      engine.loaded = "1";
      engines_[base::BackendId("e" + std::to_string(i))] = engine;
    }
    orders::OrderPlanner::Options planner;
    planner.max_loads = kMaxLoads;
    planner.repeat = options.repeat;
    for (int i = 0; i < options.controls; ++i) {
      controls_.push_back(std::make_unique<Control>(Control{
          orders::OrderLease("orders/assay",
                             base::HolderId("c" + std::to_string(i)),
                             orders::OrderLease::Options()),
          orders::OrderPlanner(planner), base::MonoTime(), false, "1", false}));
      SetVersion(*controls_.back(), "1");
    }
  }

  // Runs the controls for `length`. The desired version changes to `version`
  // after half of it. No pause or loss of the store starts in the last 90 s.
  void Run(seconds length, const std::string& version) {
    const base::MonoTime end = now_ + length;
    const base::MonoTime change = now_ + length / 2;
    const base::MonoTime pauses_end = end - seconds(90);
    for (base::MonoTime at = now_; at < end; at += milliseconds(200)) {
      Schedule(at, [=] {
        if (now_ >= change)
          version_ = version;
        StepAll(now_ < pauses_end);
        Check();
      });
    }
    while (!events_.empty()) {
      const auto event = events_.begin();
      now_ = std::max(now_, event->first);
      const auto action = event->second;
      events_.erase(event);
      action();
    }
  }

  bool AllLoaded(const std::string& version) const {
    return std::all_of(engines_.begin(), engines_.end(), [&](const auto& item) {
      return item.second.loaded == version;
    });
  }
  int most_holders() const { return most_holders_; }
  int most_loading() const { return most_loading_; }
  int least_serving() const { return least_serving_; }
  // Number of orders that arrived after one with a higher fencing number.
  int late_orders() const { return late_orders_; }
  // Whether the holder changed without a higher fencing number.
  bool fence_not_increased() const { return fence_not_increased_; }
  int orders() const { return orders_; }

 private:
  struct Control {
    orders::OrderLease lease;
    orders::OrderPlanner planner;
    base::MonoTime paused_until;
    bool was_holder = false;
    std::string version;
    bool store_lost = false;
  };
  struct Engine {
    bool checks_fence = false;
    std::uint64_t fence = 0;
    std::string loaded;
    std::string loading;
    int load_id = 0;
  };

  void Schedule(base::MonoTime at, std::function<void()> action) {
    events_.emplace(at, std::move(action));
  }
  milliseconds UpTo(milliseconds most) {
    return milliseconds(random_() % (most.count() + 1));
  }
  bool Chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }

  void SetVersion(Control& control, const std::string& version) {
    control.version = version;
    std::map<base::BackendId, orders::DesiredState> desired;
    for (const auto& [id, engine] : engines_)
      desired[id] = {{{base::ModelId("ochre-8b"), version, {}}}, ""};
    control.planner.SetDesired(std::move(desired));
  }

  // Runs `action` as soon as the control is not paused.
  void OnControl(Control& control, std::function<void()> action) {
    if (now_ < control.paused_until)
      return Schedule(control.paused_until,
                      [this, &control, action] { OnControl(control, action); });
    action();
  }

  void StepAll(bool faults_allowed) {
    for (auto& control : controls_) {
      if (options_.pauses && faults_allowed && Chance(1))
        control->paused_until = now_ + UpTo(seconds(40));
      if (options_.store_cuts && faults_allowed &&
          control != controls_.back() && control->lease.Fence(now_) &&
          random_() % 400 == 0)
        control->store_lost = true;
      if (now_ >= control->paused_until)
        Step(*control);
    }
  }

  void Step(Control& control) {
    if (control.version != version_)
      SetVersion(control, version_);
    if (const auto action = control.lease.OnTick(now_))
      PerformAction(control, *action);
    if (control.lease.IsHolder() && !control.was_holder)
      control.planner.Reset();
    control.was_holder = control.lease.IsHolder();
    for (const auto& [id, engine] : engines_) {
      control.planner.OnReport(id, {"ochre-8b@" + engine.loaded}, now_);
    }
    if (!control.lease.Fence(now_))
      return;
    for (const base::BackendId& id : control.planner.EnginesToOrder(now_)) {
      const auto fence = control.lease.Fence(now_);
      if (!fence)
        return;
      control.planner.OnOrderSent(id, now_);
      ++orders_;
      // The control may pause between the check of the lease and the delivery
      // of the order.
      milliseconds delay = UpTo(options_.order_delay);
      if (options_.pauses && Chance(2))
        delay += UpTo(seconds(40));
      const std::string version = control.version;
      Schedule(now_ + delay, [this, &control, id, fence, version] {
        const bool accepted = Deliver(id, *fence, version);
        OnControl(control, [this, &control, id, accepted] {
          control.planner.OnOrderAnswered(id, accepted, now_);
        });
      });
    }
  }

  bool Deliver(const base::BackendId& id,
               std::uint64_t fence,
               const std::string& version) {
    Engine& engine = engines_.at(id);
    if (fence < engine.fence) {
      ++late_orders_;
      if (engine.checks_fence)
        return false;
    }
    engine.fence = std::max(engine.fence, fence);
    if (engine.loaded == version || engine.loading == version) {
      if (engine.loaded == version)
        engine.loading.clear();
      return true;
    }
    engine.loading = version;
    const int load_id = ++engine.load_id;
    Schedule(now_ + seconds(1) + UpTo(seconds(4)), [this, id, load_id] {
      Engine& loaded = engines_.at(id);
      if (loaded.load_id != load_id || loaded.loading.empty())
        return;
      loaded.loaded = loaded.loading;
      loaded.loading.clear();
    });
    return true;
  }

  void PerformAction(Control& control,
                     const orders::OrderLease::Action& action) {
    const milliseconds request_delay = UpTo(milliseconds(500));
    const milliseconds reply_delay = UpTo(milliseconds(500));
    const bool reply_lost = Chance(options_.lost_answers_percent);
    if (control.store_lost) {
      return Schedule(now_ + request_delay, [&control, this] {
        control.lease.OnWritten(base::Error{base::Code::kStoreUnavailable, ""},
                                now_);
      });
    }
    if (std::holds_alternative<orders::OrderLease::ReadRow>(action)) {
      return Schedule(now_ + request_delay, [=, &control] {
        const storage::Row row = row_;
        Schedule(now_ + reply_delay, [=, &control] {
          OnControl(control, [=, &control] {
            if (reply_lost)
              control.lease.OnRead(
                  base::Error{base::Code::kStoreUnavailable, ""}, now_);
            else
              control.lease.OnRead(row, now_);
          });
        });
      });
    }
    const storage::RowWrite write =
        std::get<orders::OrderLease::WriteRow>(action).write;
    Schedule(now_ + request_delay, [=, &control] {
      base::Status status = base::Unit{};
      if (row_.version != write.expected_version) {
        status = base::Error{base::Code::kStoreConflict, ""};
      } else {
        CheckFence(write.value);
        ++row_.version;
        row_.value = write.value;
      }
      if (reply_lost)
        status = base::Error{base::Code::kStoreOutcomeUnknown, ""};
      Schedule(now_ + reply_delay, [=, &control] {
        OnControl(control,
                  [=, &control] { control.lease.OnWritten(status, now_); });
      });
    });
  }

  void CheckFence(const std::string& value) {
    const auto before = nlohmann::json::parse(row_.value, nullptr, false);
    const auto after = nlohmann::json::parse(value);
    if (before.is_object() && before["holder"] != after["holder"] &&
        before["fence"] >= after["fence"])
      fence_not_increased_ = true;
  }

  void Check() {
    int holders = 0;
    for (const auto& control : controls_)
      holders += control->lease.Fence(now_) ? 1 : 0;
    most_holders_ = std::max(most_holders_, holders);
    int loading = 0;
    for (const auto& [id, engine] : engines_)
      loading += engine.loading.empty() ? 0 : 1;
    most_loading_ = std::max(most_loading_, loading);
    least_serving_ =
        std::min(least_serving_, static_cast<int>(engines_.size()) - loading);
  }

  const Options options_;
  std::mt19937 random_;
  base::MonoTime now_ = base::MonoTime(std::chrono::hours(1));
  std::multimap<base::MonoTime, std::function<void()>> events_;
  std::vector<std::unique_ptr<Control>> controls_;
  std::map<base::BackendId, Engine> engines_;
  storage::Row row_{"orders/assay", 0, ""};
  std::string version_ = "1";
  int orders_ = 0;
  int most_holders_ = 0;
  int most_loading_ = 0;
  int least_serving_ = 1000;
  int late_orders_ = 0;
  bool fence_not_increased_ = false;
};

}  // namespace orders_test

#endif  // TESTS_PROPERTY_ORDERS_FLEET_OF_HOLDERS_H_
