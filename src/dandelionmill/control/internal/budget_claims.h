#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_CLAIMS_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_CLAIMS_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/idempotency/claim.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::control {

class PlatformIo;

// Acquires and settles claims of non-idempotent requests in the table. Used on
// the control thread only.
class BudgetClaims {
 public:
  explicit BudgetClaims(PlatformIo& platform) : platform_(platform) {}

  struct Acquisition {
    idempotency::RequestIdentity name;
    idempotency::Claim claim;
    // Version check of the holder row.
    storage::RowWrite holder_check;
    base::MonoTime deadline;
    // Called once: with nullopt when the claim is acquired, else with the
    // refusal.
    std::function<void(std::optional<idempotency::Rejected>)> done;
    // Whether a write of unknown outcome was sent.
    bool maybe_written = false;
  };

  // Commands.
  void Acquire(Acquisition acquisition, base::MonoTime now);
  // Sets the claim of `attempt` to `state`. Retries until the write is stored
  // or the claim turns out to belong to another attempt or to be settled
  // already. A release is written even when the row does not exist, so that a
  // delayed write of the claim cannot commit. `done` may be null.
  void Settle(const idempotency::RequestIdentity& name,
              const base::AttemptId& attempt,
              idempotency::ClaimState state,
              std::function<void()> done);
  void OnTick(base::MonoTime now);

  // Queries.
  bool IsDrained() const {
    return settlements_.empty() && settlements_in_progress_ == 0;
  }

 private:
  struct Settlement {
    idempotency::RequestIdentity name;
    base::AttemptId attempt;
    idempotency::ClaimState state = idempotency::ClaimState::kReleased;
    std::function<void()> done;
  };
  using AcquisitionPtr = std::shared_ptr<Acquisition>;

  void Write(const AcquisitionPtr& acquisition, std::uint64_t version);
  void ReadBack(const AcquisitionPtr& acquisition);
  void OnReadBack(const AcquisitionPtr& acquisition,
                  const base::Result<storage::Row>& read);
  void GiveUp(const AcquisitionPtr& acquisition);
  void StartSettlement(const Settlement& settlement);
  void WriteSettlement(const Settlement& settlement, const storage::Row& row);
  void FinishSettlement(const Settlement& settlement);
  void RetrySettlement(const Settlement& settlement);

  PlatformIo& platform_;
  std::deque<Settlement> settlements_;
  int settlements_in_progress_ = 0;
  base::MonoTime now_;
  base::MonoTime retry_settlements_at_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_CLAIMS_H_
