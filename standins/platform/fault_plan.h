#ifndef STANDINS_PLATFORM_FAULT_PLAN_H_
#define STANDINS_PLATFORM_FAULT_PLAN_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <random>
#include <vector>

namespace standins::platform {

// Fault injected into one command (write) sent to a store.
enum class CommandFault {
  kNone,
  // The store refuses the command and writes nothing.
  kUnavailable,
  // The request is lost: nothing is written and the outcome is unknown to the
  // caller.
  kLoseRequest,
  // The command is applied but its answer is lost: the outcome is unknown to
  // the caller.
  kLoseAnswer,
};

// Selects the calls to a stand-in that fail. Deterministic for a given seed and
// order of calls. Thread-safe.
class FaultPlan {
 public:
  explicit FaultPlan(std::uint64_t seed = 1);

  // While down, every query and command is refused.
  void SetDown(bool down);
  // Sets the probability, in percent (0 to 100), that a command without a
  // scheduled fault loses its answer.
  void SetLoseAnswersPercent(int percent);
  // Assigns these faults to the next commands, in order. Scheduled faults take
  // precedence over the percentage.
  void Schedule(const std::vector<CommandFault>& faults);
  // Returns the fault for the next command and advances the plan.
  CommandFault NextCommandFault();

  bool IsDown() const;

 private:
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  std::deque<CommandFault> scheduled_;
  int lose_answers_percent_ = 0;
  bool down_ = false;
};

}  // namespace standins::platform

#endif  // STANDINS_PLATFORM_FAULT_PLAN_H_
