#ifndef SRC_DANDELIONMILL_ROUTER_SETTLEMENT_OUTBOX_H_
#define SRC_DANDELIONMILL_ROUTER_SETTLEMENT_OUTBOX_H_

#include <chrono>
#include <functional>
#include <map>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/wire/budget.pb.h"

namespace dandelionmill::router {

// Settlements that no control has acknowledged yet. Each is due immediately and
// resent at intervals that double from kInitialResendInterval up to
// kMaxResendInterval. Does no I/O and is not thread-safe.
class SettlementOutbox {
 public:
  static constexpr std::chrono::milliseconds kInitialResendInterval{500};
  static constexpr std::chrono::milliseconds kMaxResendInterval{4000};
  // How long an acknowledged attempt is kept, to recognize late duplicates of
  // its grant.
  static constexpr std::chrono::milliseconds kAcknowledgedRetention{120000};

  void Add(wire::Settle settle, base::MonoTime now);
  void Acknowledge(const base::AttemptId& attempt, base::MonoTime now);
  // Returns the settlements to send now, and removes acknowledgements older
  // than kAcknowledgedRetention.
  std::vector<wire::Settle> TakeDue(base::MonoTime now);

  // Whether the attempt has a settlement here, acknowledged or not.
  bool Contains(const base::AttemptId& attempt) const;
  // Whether the attempt has an unacknowledged settlement with an outcome other
  // than completed.
  bool IsUnacknowledgedFailure(const base::AttemptId& attempt) const;
  std::size_t pending() const { return pending_.size(); }

 private:
  struct Entry {
    wire::Settle settle;
    base::MonoTime due;
    std::chrono::milliseconds resend_interval = kInitialResendInterval;
  };

  std::map<base::AttemptId, Entry> pending_;
  std::map<base::AttemptId, base::MonoTime> acknowledged_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_SETTLEMENT_OUTBOX_H_
