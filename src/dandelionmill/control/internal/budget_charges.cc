#include "dandelionmill/control/internal/budget_charges.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

constexpr std::chrono::milliseconds kMinPutPeriod{500};
// Limits a fleet of any size to about 100 puts per second.
constexpr std::chrono::milliseconds kPutPeriodPerControl{10};
constexpr std::chrono::milliseconds kRetryPeriod{500};

}  // namespace

BudgetCharges::BudgetCharges(
    PlatformIo& platform,
    const base::HolderId& holder,
    std::function<void(const std::vector<base::AttemptId>&)> on_stored)
    : platform_(platform),
      on_stored_(std::move(on_stored)),
      queue_(holder),
      period_(kMinPutPeriod) {}

bool BudgetCharges::Add(const billing::Charge& charge) {
  if (IsQueued(charge.attempt))
    return true;
  if (!queue_.Add(charge))
    return false;
  queued_.insert(charge.attempt);
  return true;
}

void BudgetCharges::SetFleetSize(std::size_t controls) {
  period_ = std::max(kMinPutPeriod,
                     kPutPeriodPerControl * static_cast<int>(controls));
}

void BudgetCharges::OnTick(base::MonoTime now) {
  now_ = now;
  if (!busy_ && !queue_.empty() && (now_ >= next_put_ || flush_))
    Put();
}

void BudgetCharges::Flush() {
  flush_ = true;
}

void BudgetCharges::Put() {
  const billing::Batch* batch =
      queue_.NextBatch(std::chrono::system_clock::now());
  busy_ = true;
  platform_.Put(batch->name, batch->content,
                [this](const base::Status& status) { OnPut(status); });
}

void BudgetCharges::OnPut(const base::Status& status) {
  busy_ = false;
  if (!base::IsOk(status)) {
    log::Event(log::Level::kWarning, "charges_not_stored")
        .With(base::ErrorOf(status));
    next_put_ = now_ + kRetryPeriod;
    flush_ = false;
    return;
  }
  next_put_ = now_ + period_;
  const std::vector<base::AttemptId> stored = queue_.OnStored();
  for (const base::AttemptId& attempt : stored)
    queued_.erase(attempt);
  on_stored_(stored);
}

}  // namespace dandelionmill::control
