#include "dandelionmill/base/codes.h"

namespace dandelionmill::base {

const std::vector<CodeInfo>& AllCodes() {
  static const std::vector<CodeInfo> codes = {
      {Code::kBadSetting, "bad_setting", 500,
       "A setting is unknown or out of range; correct the settings file."},
      {Code::kBadCommandLine, "bad_command_line", 500,
       "The command line is wrong; see --help."},
      {Code::kBadInventory, "bad_inventory", 400,
       "The inventory or rules do not pass the check; correct the named "
       "value."},
      {Code::kConfigConflict, "config_conflict", 409,
       "Another operator changed the configuration first; review and reapply."},
      {Code::kNoConfig, "no_config", 503,
       "This instance has no configuration yet; it refuses until it has one."},
      {Code::kConfigBehind, "config_behind", 503,
       "This instance may lack a newer configuration that allows the request."},
      {Code::kMalformedRequest, "malformed_request", 400,
       "The request could not be parsed; correct it before sending it again."},
      {Code::kBodyTooLarge, "body_too_large", 413,
       "The request body exceeds the limit."},
      {Code::kUnauthorized, "unauthorized", 401,
       "The key is missing or belongs to no client account."},
      {Code::kUnknownModel, "unknown_model", 404,
       "No service of the inventory offers this model."},
      {Code::kUnknownService, "unknown_service", 404,
       "The inventory names no such service."},
      {Code::kBadDeadline, "bad_deadline", 400,
       "The deadline is not a positive number of milliseconds in range."},
      {Code::kDeadlineExceeded, "deadline_exceeded", 504,
       "The request could not be completed before its deadline."},
      {Code::kRateLimited, "rate_limited", 429,
       "The client account is over its request or connection limit."},
      {Code::kKeyReused, "key_reused", 422,
       "The idempotency key was used before with a different body."},
      {Code::kBudgetExhausted, "budget_exhausted", 402,
       "The prepaid budget cannot cover this request; top it up."},
      {Code::kBudgetUnknown, "budget_unknown", 402,
       "The client account has no budget in the table."},
      {Code::kBudgetBusy, "budget_busy", 503,
       "The budget cannot be drawn on here right now; retry later."},
      {Code::kBudgetFloor, "budget_floor", 409,
       "The budget cannot be lowered below what is settled and leased."},
      {Code::kLeaseLost, "lease_lost", 503,
       "The lease that granted this request has been closed."},
      {Code::kNoBackend, "no_backend", 503,
       "No backend server of the service can take the request."},
      {Code::kOverloaded, "overloaded", 503,
       "The queue is full or cannot meet the deadline; retry later."},
      {Code::kBackendFailed, "backend_failed", 502,
       "The backend server failed before it gave an answer."},
      {Code::kQuarantined, "quarantined", 422,
       "This request body crashed backend servers and is refused for a while."},
      {Code::kAnswerIncomplete, "answer_incomplete", 502,
       "The answer could not be completed; what was sent is partial."},
      {Code::kRanAlready, "ran_already", 409,
       "A request with this key has already run."},
      {Code::kOutcomeUnknown, "outcome_unknown", 409,
       "A non-idempotent request with this key may have run; ask an operator."},
      {Code::kLeaving, "leaving", 503,
       "This instance is shutting down; use another one."},
      {Code::kCallerGone, "caller_gone", 499,
       "The caller closed the connection before the answer was complete."},
      {Code::kStreamNotResumable, "stream_not_resumable", 503,
       "The software version that began the stream is not known or no longer "
       "serves; begin anew."},
      {Code::kStoreUnavailable, "store_unavailable", 503,
       "The platform's store cannot be reached; nothing was written."},
      {Code::kStoreOutcomeUnknown, "store_outcome_unknown", 503,
       "The platform's store did not answer; the write may have taken effect."},
      {Code::kStoreConflict, "store_conflict", 409,
       "A row changed between the read and the commit; read again."},
      {Code::kNotFound, "not_found", 404, "There is no such row or object."},
      {Code::kClaimUnavailable, "claim_unavailable", 503,
       "No claim could be written for a non-idempotent request."},
      {Code::kControlUnavailable, "control_unavailable", 503,
       "No control of the availability zone answers."},
      {Code::kMalformedMessage, "malformed_message", 500,
       "A message between processes could not be decoded."},
      {Code::kInternal, "internal", 500, "A defect; see the log."},
      {Code::kTimeout, "timeout", 504, "A peer did not answer in time."},
  };
  return codes;
}

const CodeInfo& InfoOf(Code code) {
  for (const CodeInfo& info : AllCodes()) {
    if (info.code == code)
      return info;
  }
  return InfoOf(Code::kInternal);
}

std::string ToString(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kMaybe:
      return "maybe";
    case Ran::kYes:
      return "yes";
  }
  return "maybe";
}

}  // namespace dandelionmill::base
