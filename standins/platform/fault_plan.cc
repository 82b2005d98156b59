#include "standins/platform/fault_plan.h"

namespace standins::platform {

FaultPlan::FaultPlan(std::uint64_t seed) : random_(seed) {}

void FaultPlan::SetDown(bool down) {
  std::lock_guard<std::mutex> lock(mutex_);
  down_ = down;
}

void FaultPlan::SetLoseAnswersPercent(int percent) {
  std::lock_guard<std::mutex> lock(mutex_);
  lose_answers_percent_ = percent;
}

void FaultPlan::Schedule(const std::vector<CommandFault>& faults) {
  std::lock_guard<std::mutex> lock(mutex_);
  scheduled_.insert(scheduled_.end(), faults.begin(), faults.end());
}

CommandFault FaultPlan::NextCommandFault() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (down_)
    return CommandFault::kUnavailable;
  if (!scheduled_.empty()) {
    const CommandFault fault = scheduled_.front();
    scheduled_.pop_front();
    return fault;
  }
  const auto percentile = static_cast<int>(random_() % 100);
  return percentile < lose_answers_percent_ ? CommandFault::kLoseAnswer
                                            : CommandFault::kNone;
}

bool FaultPlan::IsDown() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return down_;
}

}  // namespace standins::platform
