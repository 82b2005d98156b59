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

// Endings written at once.
constexpr int kMaxEndings = 2;
constexpr std::chrono::milliseconds kRetryPeriod{500};
constexpr std::chrono::milliseconds kClaimRetry{2000};

}  // namespace

void BudgetClaims::Take(Acquire acquire, base::MonoTime now) {
  now_ = std::max(now_, now);
  Write(std::make_shared<Acquire>(std::move(acquire)), 0);
}

void BudgetClaims::Write(const AcquirePtr& acquire, std::uint64_t version) {
  if (now_ >= acquire->give_up_at)
    return GiveUp(acquire);
  platform_.Commit(
      {{{idempotency::ClaimKey(acquire->name), version,
         idempotency::ToJson(acquire->claim), false},
        acquire->holder_check}},
      [this, acquire](const base::Status& status) {
        if (base::IsOk(status))
          return acquire->done(std::nullopt);
        if (base::ErrorOf(status).code == base::Code::kStoreUnavailable)
          return GiveUp(acquire);
        if (base::ErrorOf(status).code == base::Code::kStoreOutcomeUnknown)
          acquire->maybe_written = true;
        ReadBack(acquire);
      });
}

void BudgetClaims::ReadBack(const AcquirePtr& acquire) {
  platform_.Read(idempotency::ClaimKey(acquire->name),
                 [this, acquire](const base::Result<storage::Row>& read) {
                   OnReadBack(acquire, read);
                 });
}

void BudgetClaims::OnReadBack(const AcquirePtr& acquire,
                              const base::Result<storage::Row>& read) {
  if (!base::IsOk(read))
    return GiveUp(acquire);
  const storage::Row& row = base::ValueOf(read);
  if (row.version == 0)
    return Write(acquire, 0);
  const base::Result<idempotency::Claim> present =
      idempotency::ParseClaim(row.value);
  if (!base::IsOk(present)) {
    return acquire->done(
        Rejected{base::ErrorOf(present), base::Ran::kMaybe, {}});
  }
  std::visit(
      base::Overloaded{
          [&](const idempotency::ClaimIsOurs&) { acquire->done(std::nullopt); },
          [&](const idempotency::ClaimMayBeTaken&) {
            Write(acquire, row.version);
          },
          [&](const Rejected& rejected) { acquire->done(rejected); }},
      idempotency::JudgeClaim(base::ValueOf(present), acquire->claim));
}

// The request is not sent, so a claim that may have been written is released.
void BudgetClaims::GiveUp(const AcquirePtr& acquire) {
  if (acquire->maybe_written) {
    Settle(acquire->name, acquire->claim.attempt, ClaimState::kReleased,
           nullptr);
  }
  acquire->done(Rejected{
      {base::Code::kClaimUnavailable, "the claim could not be written in time"},
      base::Ran::kNo,
      kClaimRetry});
}

void BudgetClaims::Settle(const idempotency::RequestName& name,
                          const base::AttemptId& attempt,
                          ClaimState state,
                          std::function<void()> done) {
  endings_.push_back({name, attempt, state, std::move(done)});
}

void BudgetClaims::OnTick(base::MonoTime now) {
  now_ = std::max(now_, now);
  while (!endings_.empty() && ending_ < kMaxEndings &&
         now_ >= retry_endings_at_) {
    const Ending ending = std::move(endings_.front());
    endings_.pop_front();
    ++ending_;
    StartEnding(ending);
  }
}

void BudgetClaims::StartEnding(const Ending& ending) {
  platform_.Read(idempotency::ClaimKey(ending.name),
                 [this, ending](const base::Result<storage::Row>& read) {
                   if (!base::IsOk(read))
                     return RetryEnding(ending);
                   WriteEnding(ending, base::ValueOf(read));
                 });
}

void BudgetClaims::WriteEnding(const Ending& ending, const storage::Row& row) {
  idempotency::Claim claim;
  claim.attempt = ending.attempt;
  if (row.version > 0) {
    const base::Result<idempotency::Claim> present =
        idempotency::ParseClaim(row.value);
    // Nothing to end: somebody has settled the claim.
    if (!base::IsOk(present) ||
        base::ValueOf(present).attempt != ending.attempt ||
        base::ValueOf(present).state != ClaimState::kClaimed)
      return FinishEnding(ending);
    claim = base::ValueOf(present);
  }
  claim.state = ending.state;
  platform_.Commit({{{idempotency::ClaimKey(ending.name), row.version,
                      idempotency::ToJson(claim), false}}},
                   [this, ending](const base::Status& status) {
                     if (base::IsOk(status))
                       return FinishEnding(ending);
                     RetryEnding(ending);
                   });
}

void BudgetClaims::FinishEnding(const Ending& ending) {
  --ending_;
  if (ending.done)
    ending.done();
}

void BudgetClaims::RetryEnding(const Ending& ending) {
  --ending_;
  retry_endings_at_ = now_ + kRetryPeriod;
  endings_.push_back(ending);
}

}  // namespace dandelionmill::control
