#include "dandelionmill/gateway/body_progress.h"

#include <algorithm>

namespace dandelionmill::gateway {

BodyProgress::BodyProgress(std::size_t max_framing_bytes,
                           base::MonoTime head_read_at)
    : max_framing_bytes_(max_framing_bytes),
      deadline_(head_read_at + kTimeout),
      interval_end_(head_read_at + kInterval) {}

void BodyProgress::OnReceived(std::size_t framed_bytes,
                              std::size_t body_bytes,
                              std::size_t pending_bytes) {
  body_bytes_ = body_bytes;
  is_framing_too_long_ = pending_bytes > max_framing_bytes_ ||
                         framed_bytes - body_bytes >
                             max_framing_bytes_ + kFramingPerByte * body_bytes;
}

bool BodyProgress::IsTooSlow(base::MonoTime now, bool is_memory_scarce) {
  if (now >= deadline_)
    return true;
  if (now < interval_end_)
    return false;
  const bool is_slow = body_bytes_ - body_bytes_at_interval_ < kMinBytes;
  body_bytes_at_interval_ = body_bytes_;
  interval_end_ = now + kInterval;
  return is_memory_scarce && is_slow;
}

base::MonoTime BodyProgress::next_check() const {
  return std::min(deadline_, interval_end_);
}

}  // namespace dandelionmill::gateway
