#ifndef SRC_DANDELIONMILL_GATEWAY_CONFIG_CONFIRMATION_H_
#define SRC_DANDELIONMILL_GATEWAY_CONFIG_CONFIRMATION_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Tracks whether the configuration in force is known to be the newest accepted
// one. Only then may a request be refused for good by what it does not allow.
// Times are on a clock that counts the time in which the machine is suspended.
// Pure.
class ConfigConfirmation {
 public:
  // A feed without changes confirms the configuration more often than this.
  static constexpr std::chrono::milliseconds kMaxAge{1600};
  // Time after the restore of the store from an older copy until the operator
  // has written again what was lost.
  static constexpr std::chrono::milliseconds kRewriteTime{2500};

  // Commands.
  // The store confirmed that it has no newer configuration, as of `as_of`.
  void OnConfirmed(base::BootTime as_of) { confirmed_at_ = as_of; }
  // The changes since the last confirmation can no longer be followed.
  void OnBehind() { confirmed_at_ = base::BootTime(); }
  // The store has this version. Within an era it never goes back.
  void OnStored(base::ConfigVersion version) {
    stored_version_ = std::max(stored_version_, version);
  }
  // The newest configuration cannot be decoded.
  void OnRejected() { is_rejected_ = true; }
  // This configuration, newer than the last one, is in force.
  void OnInForce(base::ConfigVersion version) {
    in_force_ = version;
    is_rejected_ = false;
  }
  // The store was restored from an older copy; this was noticed at `now`.
  void OnStoreRestored(base::BootTime now) {
    OnBehind();
    stored_version_ = 0;
    rewritten_at_ = now + kRewriteTime;
  }
  // Another instance has this configuration in force.
  void OnPeerVersion(base::ConfigVersion version) { peer_version_ = version; }

  // Queries.
  // Returns the time since the last confirmation; nothing while a newer
  // configuration is known to exist, or before the first confirmation.
  std::optional<std::chrono::milliseconds> Age(base::BootTime now) const;
  bool IsCurrent(base::BootTime now) const;

 private:
  base::BootTime confirmed_at_{};
  base::BootTime rewritten_at_{};
  base::ConfigVersion in_force_ = 0;
  base::ConfigVersion stored_version_ = 0;
  base::ConfigVersion peer_version_ = 0;
  bool is_rejected_ = false;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CONFIG_CONFIRMATION_H_
