#ifndef SRC_DANDELIONMILL_ROUTER_PROBLEM_H_
#define SRC_DANDELIONMILL_ROUTER_PROBLEM_H_

#include <chrono>
#include <string>

#include "dandelionmill/base/codes.h"
#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"

namespace dandelionmill::router {

// The error reported to a caller whose request is refused or cannot be
// completed.
struct Problem {
  base::Error error;
  base::Ran ran = base::Ran::kNo;
  // Suggested delay before a retry; 0 if a retry cannot succeed.
  std::chrono::milliseconds retry_after{0};
};

// Returns the application/problem+json document (RFC 9457).
std::string ToJson(const Problem& problem, const base::RequestKey& key);

// Returns the Retry-After value in seconds, rounded up; 0 if there is none.
int RetryAfterSeconds(const Problem& problem);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_PROBLEM_H_
