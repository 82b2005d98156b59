#include "standins/backend/faults.h"

namespace standins::backend {

std::int64_t UnixUs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::int64_t UnixMs() {
  return UnixUs() / 1000;
}

FaultState::FaultState(std::uint64_t seed) : random_(seed) {}

void FaultState::Set(const Faults& faults) {
  std::lock_guard<std::mutex> lock(mutex_);
  const bool is_leaving = faults.leaving || faults.leaving_silently;
  if (is_leaving && leaving_since_unix_ms_ == 0)
    leaving_since_unix_ms_ = UnixMs();
  if (!is_leaving)
    leaving_since_unix_ms_ = 0;
  faults_ = faults;
}

void FaultState::CountRequest() {
  std::lock_guard<std::mutex> lock(mutex_);
  last_request_unix_ms_ = UnixMs();
  if (leaving_since_unix_ms_ != 0)
    arrivals_after_mark_ms_.push_back(last_request_unix_ms_ -
                                      leaving_since_unix_ms_);
}

bool FaultState::ShouldDropEvent() {
  std::lock_guard<std::mutex> lock(mutex_);
  return faults_.drop_events_percent > 0 &&
         static_cast<int>(random_() % 100) < faults_.drop_events_percent;
}

Faults FaultState::Get() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return faults_;
}

std::int64_t FaultState::last_new_request_unix_ms() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return last_request_unix_ms_;
}

std::vector<std::int64_t> FaultState::requests_after_leaving_mark() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return arrivals_after_mark_ms_;
}

}  // namespace standins::backend
