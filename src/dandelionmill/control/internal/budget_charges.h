#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_CHARGES_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_CHARGES_H_

#include <functional>
#include <set>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/billing/charge.h"
#include "dandelionmill/billing/charge_queue.h"

namespace dandelionmill::control {

class PlatformIo;

// Stores charges in the object store, in batches. Used on the control thread
// only.
class BudgetCharges {
 public:
  // `on_stored` receives the attempts whose charges have been stored durably.
  BudgetCharges(
      PlatformIo& platform,
      const base::HolderId& holder,
      std::function<void(const std::vector<base::AttemptId>&)> on_stored);

  // Commands.
  // Queues a charge. Returns false when the queue is full; the sender has to
  // resend the charge.
  bool Add(const billing::Charge& charge);
  // Adapts the time between batches to the number of controls, so that the
  // fleet as a whole stays within the object store's request rate.
  void SetFleetSize(std::size_t controls);
  void OnTick(base::MonoTime now);
  // Stores the queued charges on the next tick instead of at the end of the
  // period.
  void Flush();

  // Queries.
  bool IsQueued(const base::AttemptId& attempt) const {
    return queued_.count(attempt) != 0;
  }
  std::size_t size() const { return queue_.size(); }

 private:
  void Put();
  void OnPut(const base::Status& status);

  PlatformIo& platform_;
  const std::function<void(const std::vector<base::AttemptId>&)> on_stored_;
  billing::ChargeQueue queue_;
  std::set<base::AttemptId> queued_;
  std::chrono::milliseconds period_;
  bool busy_ = false;
  bool flush_ = false;
  base::MonoTime now_;
  base::MonoTime next_put_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_CHARGES_H_
