#ifndef SRC_DANDELIONMILL_IDEMPOTENCY_CLAIM_H_
#define SRC_DANDELIONMILL_IDEMPOTENCY_CLAIM_H_

#include <cstdint>
#include <string>
#include <variant>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/idempotency/attempt_table.h"

namespace dandelionmill::idempotency {

enum class ClaimState {
  // An attempt may be running or may have run.
  kClaimed,
  // The attempt completed.
  kDone,
  // The attempt is known never to have reached a backend server.
  kReleased
};

// The right to run a non-idempotent request, stored as a row of the table
// store.
struct Claim {
  base::AttemptId attempt;
  ClaimState state = ClaimState::kClaimed;
  std::string body_sha256;
  base::HolderId holder;
  base::BackendId backend;
  // Unix time in milliseconds. Informational: no decision depends on it.
  std::int64_t at_unix_ms = 0;
};

// Returns the key of the claim's row in the table store.
std::string ClaimKey(const RequestIdentity& name);

// Parses the value of a claim row. Fails with kMalformedMessage.
base::Result<Claim> ParseClaim(const std::string& text);
std::string ToJson(const Claim& claim);

// The outcomes of `EvaluateClaim`.

// The row was written by this attempt: the store's reply to the write was lost.
struct ClaimAlreadyHeld {};
// The row may be overwritten, on condition that its version is unchanged.
struct ClaimAvailable {};
using ClaimDecision = std::variant<ClaimAlreadyHeld, ClaimAvailable, Rejected>;

// Decides whether `requested` may run, given the row that already exists.
ClaimDecision EvaluateClaim(const Claim& existing, const Claim& requested);

}  // namespace dandelionmill::idempotency

#endif  // SRC_DANDELIONMILL_IDEMPOTENCY_CLAIM_H_
