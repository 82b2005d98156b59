#ifndef TESTS_PROPERTY_ROUTING_DISPATCHER_MODEL_H_
#define TESTS_PROPERTY_ROUTING_DISPATCHER_MODEL_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/routing/dispatcher.h"
#include "tests/unit/routing/dispatcher_fixture.h"

namespace routing_test {

// Tracks the decisions of one Dispatcher and records every violated invariant.
class DispatcherModel {
 public:
  explicit DispatcherModel(inventory::Core core)
      : core_(std::move(core)), dispatcher_(base::ZoneId("n1"), 1) {
    Apply(dispatcher_.OnConfig(SnapshotOf(core_), now_));
  }

  void Advance(milliseconds step) { now_ += step; }

  void Submit(routing::Request request) {
    requests_[request.number].request = request;
    const bool must_run = request.body_sha256.empty() && AllIdle();
    Apply(dispatcher_.Submit(request, now_));
    Expect(!must_run || requests_[request.number].running ||
               requests_[request.number].completed,
           "an idle pool did not accept a request");
  }
  void End(routing::RequestNumber number,
           routing::AttemptResult ending,
           bool answer_started) {
    Tracked& tracked = requests_.at(number);
    if (!tracked.running)
      return;
    tracked.running = false;
    --running_on_[tracked.backend];
    if (ending == routing::AttemptResult::kCrashed ||
        ending == routing::AttemptResult::kConnectionLost || answer_started)
      tracked.may_have_run = true;
    if (ending == routing::AttemptResult::kCompleted ||
        ending == routing::AttemptResult::kAnsweredError ||
        ending == routing::AttemptResult::kCancelled)
      tracked.completed = true;
    if (ending == routing::AttemptResult::kRejected)
      paused_until_ = now_ + milliseconds(100);
    Apply(dispatcher_.OnAttemptEnded(number, ending, answer_started, now_));
  }
  void DisconnectCaller(routing::RequestNumber number) {
    Tracked& tracked = requests_.at(number);
    if (tracked.running || tracked.refused || tracked.completed)
      return;
    tracked.completed = true;
    Apply(dispatcher_.OnCallerDisconnected(number, now_));
  }
  void SetLeaving(const std::set<base::BackendId>& leaving) {
    leaving_ = leaving;
    Apply(dispatcher_.SetLeavingBackends(leaving, now_));
  }
  void ReportLeaving(const base::BackendId& id, bool leaving) {
    if (leaving)
      reported_leaving_.insert(id);
    else
      reported_leaving_.erase(id);
    routing::LoadReport report;
    report.leaving = leaving;
    report.running = running_on_[id];
    report.measured_at = now_;
    Apply(dispatcher_.OnLoadReport(id, report, now_));
  }
  void FailReport(const base::BackendId& id) {
    dispatcher_.OnLoadReportFailed(id, now_);
  }
  void Tick() {
    Apply(dispatcher_.OnTick(now_));
    for (const auto& [number, tracked] : requests_) {
      Expect(tracked.running || tracked.refused || tracked.completed ||
                 tracked.request.deadline > now_,
             "a request is waiting after its deadline");
    }
  }

  // Completes running requests and advances the clock beyond every deadline.
  void RunToCompletion() {
    for (int round = 0; round < 1000; ++round) {
      std::vector<routing::RequestNumber> running = Running();
      for (const auto number : running)
        End(number, routing::AttemptResult::kCompleted, true);
      Advance(milliseconds(500));
      Tick();
    }
    for (const auto& [number, tracked] : requests_)
      Expect(tracked.completed || tracked.refused, "a request never ended");
  }

  std::vector<routing::RequestNumber> Running() const {
    std::vector<routing::RequestNumber> numbers;
    for (const auto& [number, tracked] : requests_) {
      if (tracked.running)
        numbers.push_back(number);
    }
    return numbers;
  }
  const std::set<std::string>& violations() const { return violations_; }
  base::MonoTime now() const { return now_; }
  std::size_t submitted() const { return requests_.size(); }

 private:
  struct Tracked {
    routing::Request request;
    base::BackendId backend;
    bool running = false;
    bool refused = false;
    bool completed = false;
    bool may_have_run = false;
    int dispatches = 0;
  };

  void Expect(bool holds, const std::string& violation) {
    if (!holds)
      violations_.insert(violation);
  }

  bool MayServe(const base::BackendId& id) const {
    return leaving_.count(id) == 0 && reported_leaving_.count(id) == 0;
  }

  // Whether at least one backend server is usable and none of the usable ones
  // is running a request.
  bool AllIdle() const {
    bool any = false;
    for (const auto& backend : core_.backends) {
      if (!MayServe(backend.id))
        continue;
      any = true;
      const auto running = running_on_.find(backend.id);
      if (running != running_on_.end() && running->second > 0)
        return false;
    }
    return any && now_ >= paused_until_;
  }

  void Apply(const routing::Decisions& decisions) {
    for (const auto& decision : decisions) {
      if (const auto* dispatch = std::get_if<routing::Dispatch>(&decision))
        OnDispatch(*dispatch);
      else
        OnRefuse(std::get<routing::Refuse>(decision));
    }
    CheckQueue();
  }

  void OnDispatch(const routing::Dispatch& dispatch) {
    Tracked& tracked = requests_.at(dispatch.number);
    Expect(!tracked.running && !tracked.refused && !tracked.completed,
           "a request was dispatched while it ran or after it had ended");
    ++tracked.dispatches;
    Expect(tracked.request.idempotent || tracked.dispatches == 1,
           "a non-idempotent request was dispatched twice");
    Expect(MayServe(dispatch.backend),
           "a leaving backend server received a new request");
    tracked.running = true;
    tracked.backend = dispatch.backend;
    ++running_on_[dispatch.backend];
    for (const auto& backend : core_.backends) {
      Expect(running_on_[backend.id] <= backend.slots,
             "a backend server received more requests than it has slots");
    }
  }

  void OnRefuse(const routing::Refuse& refuse) {
    Tracked& tracked = requests_.at(refuse.number);
    Expect(!tracked.running && !tracked.refused && !tracked.completed,
           "a request was refused while it ran or after it had ended");
    tracked.refused = true;
    Expect(refuse.ran != base::Ran::kNo || !tracked.may_have_run,
           "a refusal reported not run for a request that may have run");
  }

  void CheckQueue() {
    int waiting = 0;
    for (const auto& [number, tracked] : requests_) {
      if (!tracked.running && !tracked.refused && !tracked.completed)
        ++waiting;
    }
    Expect(waiting <= core_.services.front().queue_limit,
           "more requests are waiting than the queue limit");
  }

  const inventory::Core core_;
  routing::Dispatcher dispatcher_;
  base::MonoTime now_ = At(milliseconds(0));
  std::map<routing::RequestNumber, Tracked> requests_;
  std::map<base::BackendId, int> running_on_;
  std::set<base::BackendId> leaving_;
  std::set<base::BackendId> reported_leaving_;
  base::MonoTime paused_until_;
  std::set<std::string> violations_;
};

}  // namespace routing_test

#endif  // TESTS_PROPERTY_ROUTING_DISPATCHER_MODEL_H_
