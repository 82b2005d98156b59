#ifndef SRC_DANDELIONMILL_BASE_CODES_H_
#define SRC_DANDELIONMILL_BASE_CODES_H_

#include <string>
#include <vector>

namespace dandelionmill::base {

// Numeric result codes. They are part of the public interface, printed by every
// program and sent to callers, so the meaning of a number never changes.
enum class Code : int {
  kBadSetting = 101,
  kBadCommandLine = 102,
  kBadInventory = 110,
  kConfigConflict = 111,
  kNoConfig = 112,
  kConfigBehind = 113,

  kMalformedRequest = 201,
  kBodyTooLarge = 202,
  kUnauthorized = 203,
  kUnknownModel = 204,
  kUnknownService = 205,
  kBadDeadline = 206,
  kDeadlineExceeded = 207,
  kRateLimited = 208,
  kKeyReused = 209,

  kBudgetExhausted = 301,
  kBudgetUnknown = 302,
  kBudgetBusy = 303,
  kBudgetFloor = 304,
  kLeaseLost = 305,

  kNoBackend = 401,
  kOverloaded = 402,
  kBackendFailed = 403,
  kQuarantined = 404,
  kAnswerIncomplete = 405,
  kRanAlready = 406,
  kOutcomeUnknown = 407,
  kLeaving = 408,
  kCallerGone = 409,
  kStreamNotResumable = 410,

  kStoreUnavailable = 501,
  kStoreOutcomeUnknown = 502,
  kStoreConflict = 503,
  kNotFound = 504,
  kClaimUnavailable = 505,

  kControlUnavailable = 601,
  kMalformedMessage = 602,
  kInternal = 603,
  kTimeout = 604,
};

// Whether a backend server executed a refused request.
enum class Ran { kNo, kMaybe, kYes };

// Name, HTTP status and description of a result code.
struct CodeInfo {
  Code code;
  const char* name;
  // HTTP status sent to callers with this code.
  int http_status;
  // One sentence on the cause and what the reader can do about it.
  const char* meaning;
};

// Returns all codes in ascending order of their numbers.
const std::vector<CodeInfo>& AllCodes();

// Returns the description of `code`, that of kInternal for an unlisted number.
const CodeInfo& InfoOf(Code code);

// Returns "no", "maybe" or "yes", as used in the `ran` field.
std::string ToString(Ran ran);

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_CODES_H_
