#include "dandelionmill/gateway/config_confirmation.h"

namespace dandelionmill::gateway {

std::optional<std::chrono::milliseconds> ConfigConfirmation::Age(
    base::BootTime now) const {
  const bool is_store_behind = stored_version_ < in_force_;
  const bool is_peer_ahead = peer_version_ > in_force_;
  if (is_rejected_ || is_store_behind || is_peer_ahead ||
      confirmed_at_ == base::BootTime() || now < rewritten_at_)
    return std::nullopt;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               confirmed_at_);
}

bool ConfigConfirmation::IsCurrent(base::BootTime now) const {
  const auto age = Age(now);
  return age && *age <= kMaxAge;
}

}  // namespace dandelionmill::gateway
