#include "standins/backend/plain_service.h"

#include <thread>
#include <utility>

namespace standins::backend {

PlainService::PlainService(int slots,
                           std::chrono::microseconds call_duration,
                           RecordLog& records)
    : slots_(slots), call_duration_(call_duration), records_(records) {}

int PlainService::Call(RunRecord record, double slow_factor) {
  {
    std::unique_lock<std::mutex> lock(mutex_);
    slot_freed_.wait(lock, [this] { return running_ < slots_; });
    ++running_;
  }
  const RecordLog::Number number = records_.Begin(record);
  const int runs = records_.RunCount(record.account, record.request_key);
  std::this_thread::sleep_for(call_duration_ * slow_factor);
  record.state = "completed";
  records_.Update(number, record);
  {
    std::lock_guard<std::mutex> lock(mutex_);
    --running_;
  }
  slot_freed_.notify_one();
  return runs;
}

int PlainService::running() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return running_;
}

}  // namespace standins::backend
