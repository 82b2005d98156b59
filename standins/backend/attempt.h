#ifndef STANDINS_BACKEND_ATTEMPT_H_
#define STANDINS_BACKEND_ATTEMPT_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "standins/backend/model_call.h"
#include "standins/backend/record.h"

namespace standins::backend {

enum class RunState { kWaiting, kRunning, kCompleted, kCancelled };

// One execution of a model call and its stream of events: event 1 reports the
// number of prompt tokens, then follow one event per output token and the end
// marker. Events are numbered from 1 and can be read repeatedly. Thread-safe.
class Attempt {
 public:
  struct Call {
    RunRecord record;
    ModelCall model_call;
    int priority = 5;
    // Crashes the engine once its prompt has been processed.
    bool crashes = false;
  };

  explicit Attempt(Call call);

  const Call& call() const { return call_; }

  // Called by the engine.
  void Start();
  // Adds an output token; the last one completes the attempt.
  void AddToken();
  void Cancel();

  RunState state() const;
  bool IsFinished() const;
  int tokens() const;
  // Returns a snapshot of the record.
  RunRecord Record() const;
  // Waits up to `timeout` until events after number `after` exist or the
  // attempt has finished. Returns the number of events.
  int WaitForEvents(int after, std::chrono::milliseconds timeout) const;
  // Returns event `id` in the text/event-stream format. The event must exist.
  std::string EventText(int id) const;
  // Number of events of a completed attempt.
  int TotalEvents() const { return call_.model_call.output_tokens + 2; }

 private:
  std::string TokenEvent(int index) const;

  const Call call_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  RunState state_ = RunState::kWaiting;
  bool started_ = false;
  int tokens_ = 0;
  std::int64_t first_token_unix_us_ = 0;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_ATTEMPT_H_
