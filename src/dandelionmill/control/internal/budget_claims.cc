#include "dandelionmill/control/internal/budget_claims.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/control/platform_io.h"

namespace dandelionmill::control {
namespace {

using idempotency::ClaimState;
using idempotency::Rejected;

constexpr int kMaxSettlementsInProgress = 2;
constexpr std::chrono::milliseconds kRetryPeriod{500};
constexpr std::chrono::milliseconds kClaimRetryAfter{2000};

}  // namespace

void BudgetClaims::Acquire(Acquisition acquisition, base::MonoTime now) {
  now_ = std::max(now_, now);
  Write(std::make_shared<Acquisition>(std::move(acquisition)), 0);
}

void BudgetClaims::Write(const AcquisitionPtr& acquisition,
                         std::uint64_t version) {
  if (now_ >= acquisition->deadline)
    return GiveUp(acquisition);
  platform_.Commit(
      {{{idempotency::ClaimKey(acquisition->name), version,
         idempotency::ToJson(acquisition->claim), false},
        acquisition->holder_check}},
      [this, acquisition](const base::Status& status) {
        if (base::IsOk(status))
          return acquisition->done(std::nullopt);
        if (base::ErrorOf(status).code == base::Code::kStoreUnavailable)
          return GiveUp(acquisition);
        if (base::ErrorOf(status).code == base::Code::kStoreOutcomeUnknown)
          acquisition->maybe_written = true;
        ReadBack(acquisition);
      });
}

void BudgetClaims::ReadBack(const AcquisitionPtr& acquisition) {
  platform_.Read(idempotency::ClaimKey(acquisition->name),
                 [this, acquisition](const base::Result<storage::Row>& read) {
                   OnReadBack(acquisition, read);
                 });
}

void BudgetClaims::OnReadBack(const AcquisitionPtr& acquisition,
                              const base::Result<storage::Row>& read) {
  if (!base::IsOk(read))
    return GiveUp(acquisition);
  const storage::Row& row = base::ValueOf(read);
  if (row.version == 0)
    return Write(acquisition, 0);
  const base::Result<idempotency::Claim> present =
      idempotency::ParseClaim(row.value);
  if (!base::IsOk(present)) {
    return acquisition->done(
        Rejected{base::ErrorOf(present), base::Ran::kMaybe, {}});
  }
  std::visit(
      base::Overloaded{
          [&](const idempotency::ClaimAlreadyHeld&) {
            acquisition->done(std::nullopt);
          },
          [&](const idempotency::ClaimAvailable&) {
            Write(acquisition, row.version);
          },
          [&](const Rejected& rejected) { acquisition->done(rejected); }},
      idempotency::EvaluateClaim(base::ValueOf(present), acquisition->claim));
}

// The request will not run, so a claim that may have been written is released.
void BudgetClaims::GiveUp(const AcquisitionPtr& acquisition) {
  if (acquisition->maybe_written) {
    Settle(acquisition->name, acquisition->claim.attempt, ClaimState::kReleased,
           nullptr);
  }
  acquisition->done(Rejected{
      {base::Code::kClaimUnavailable, "the claim could not be written in time"},
      base::Ran::kNo,
      kClaimRetryAfter});
}

void BudgetClaims::Settle(const idempotency::RequestIdentity& name,
                          const base::AttemptId& attempt,
                          ClaimState state,
                          std::function<void()> done) {
  settlements_.push_back({name, attempt, state, std::move(done)});
}

void BudgetClaims::OnTick(base::MonoTime now) {
  now_ = std::max(now_, now);
  while (!settlements_.empty() &&
         settlements_in_progress_ < kMaxSettlementsInProgress &&
         now_ >= retry_settlements_at_) {
    const Settlement settlement = std::move(settlements_.front());
    settlements_.pop_front();
    ++settlements_in_progress_;
    StartSettlement(settlement);
  }
}

void BudgetClaims::StartSettlement(const Settlement& settlement) {
  platform_.Read(idempotency::ClaimKey(settlement.name),
                 [this, settlement](const base::Result<storage::Row>& read) {
                   if (!base::IsOk(read))
                     return RetrySettlement(settlement);
                   WriteSettlement(settlement, base::ValueOf(read));
                 });
}

void BudgetClaims::WriteSettlement(const Settlement& settlement,
                                   const storage::Row& row) {
  idempotency::Claim claim;
  claim.attempt = settlement.attempt;
  if (row.version > 0) {
    const base::Result<idempotency::Claim> present =
        idempotency::ParseClaim(row.value);
    // The claim belongs to another attempt or has been settled already.
    if (!base::IsOk(present) ||
        base::ValueOf(present).attempt != settlement.attempt ||
        base::ValueOf(present).state != ClaimState::kClaimed)
      return FinishSettlement(settlement);
    claim = base::ValueOf(present);
  }
  claim.state = settlement.state;
  platform_.Commit({{{idempotency::ClaimKey(settlement.name), row.version,
                      idempotency::ToJson(claim), false}}},
                   [this, settlement](const base::Status& status) {
                     if (base::IsOk(status))
                       return FinishSettlement(settlement);
                     RetrySettlement(settlement);
                   });
}

void BudgetClaims::FinishSettlement(const Settlement& settlement) {
  --settlements_in_progress_;
  if (settlement.done)
    settlement.done();
}

void BudgetClaims::RetrySettlement(const Settlement& settlement) {
  --settlements_in_progress_;
  retry_settlements_at_ = now_ + kRetryPeriod;
  settlements_.push_back(settlement);
}

}  // namespace dandelionmill::control
