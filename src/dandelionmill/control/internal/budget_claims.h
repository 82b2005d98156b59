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

// Takes and ends claims of non-idempotent requests in the table. Lives on the
// control thread.
class BudgetClaims {
 public:
  explicit BudgetClaims(PlatformIo& platform) : platform_(platform) {}

  struct Acquire {
    idempotency::RequestName name;
    idempotency::Claim claim;
    // The check of the holder row.
    storage::RowWrite holder_check;
    base::MonoTime give_up_at;
    // Runs once: with nothing when the claim is ours, or with the refusal.
    std::function<void(std::optional<idempotency::Rejected>)> done;
    // Whether a write may have reached the table or may still do so.
    bool maybe_written = false;
  };

  // Commands.
  void Take(Acquire acquire, base::MonoTime now);
  // Writes that the claim of `attempt` ended in `state`, until that is stored
  // or the row turns out not to be this attempt's. A release is written even
  // where there is no row, so that a late claim cannot commit. `done` may be
  // null.
  void Settle(const idempotency::RequestName& name,
              const base::AttemptId& attempt,
              idempotency::ClaimState state,
              std::function<void()> done);
  void OnTick(base::MonoTime now);

  // Queries.
  bool IsDrained() const { return endings_.empty() && ending_ == 0; }

 private:
  struct Ending {
    idempotency::RequestName name;
    base::AttemptId attempt;
    idempotency::ClaimState state = idempotency::ClaimState::kReleased;
    std::function<void()> done;
  };
  using AcquirePtr = std::shared_ptr<Acquire>;

  void Write(const AcquirePtr& acquire, std::uint64_t version);
  void ReadBack(const AcquirePtr& acquire);
  void OnReadBack(const AcquirePtr& acquire,
                  const base::Result<storage::Row>& read);
  void GiveUp(const AcquirePtr& acquire);
  void StartEnding(const Ending& ending);
  void WriteEnding(const Ending& ending, const storage::Row& row);
  void FinishEnding(const Ending& ending);
  void RetryEnding(const Ending& ending);

  PlatformIo& platform_;
  std::deque<Ending> endings_;
  int ending_ = 0;
  base::MonoTime now_;
  base::MonoTime retry_endings_at_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_CLAIMS_H_
