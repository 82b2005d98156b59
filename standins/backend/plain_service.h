#ifndef STANDINS_BACKEND_PLAIN_SERVICE_H_
#define STANDINS_BACKEND_PLAIN_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>

#include "standins/backend/record.h"

namespace standins::backend {

// A service whose calls each occupy a slot for a fixed time. Thread-safe.
class PlainService {
 public:
  PlainService(int slots,
               std::chrono::microseconds call_duration,
               RecordLog& records);

  // Runs one call, blocking until a slot is free and for the duration of the
  // call times `slow_factor`. Returns the number of calls with this account and
  // request key that have started, including this one.
  int Call(RunRecord record, double slow_factor);

  // Number of calls in progress.
  int running() const;

 private:
  const int slots_;
  const std::chrono::microseconds call_duration_;
  RecordLog& records_;
  mutable std::mutex mutex_;
  std::condition_variable slot_freed_;
  int running_ = 0;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_PLAIN_SERVICE_H_
