#ifndef SRC_DANDELIONMILL_GATEWAY_REFUSAL_H_
#define SRC_DANDELIONMILL_GATEWAY_REFUSAL_H_

#include <chrono>
#include <optional>
#include <string>

#include "dandelionmill/base/codes.h"
#include "dandelionmill/base/ids.h"

namespace dandelionmill::gateway {

// A response that the gateway itself sends instead of a backend server's.
struct Refusal {
  int status = 503;
  base::Code code = base::Code::kInternal;
  // Whether a backend server has run the request.
  base::Ran ran = base::Ran::kNo;
  // When the caller should retry; not set if a retry would not help.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string detail;
};

// Returns the refusal of a request that no backend server has run or will run.
// The status is that of `code`; 503 for codes after which a retry may succeed.
Refusal RefuseNotRun(base::Code code,
                     std::string detail,
                     std::optional<std::chrono::milliseconds> retry_after);

// Returns the failure of a request that a backend server may have run.
Refusal FailMaybeRun(base::Code code, int status, std::string detail);

// Retry-After values of refusals.
// No backend server is usable: ejected ones are tried again by then.
inline constexpr std::chrono::milliseconds kRetryAfterNoBackend{500};
// The platform's store was unreachable: its shortest outages are over by then.
inline constexpr std::chrono::milliseconds kRetryAfterNoStore{1000};
// The instance has no configuration or one that may be outdated: it has read
// the newest by then, or the retry reaches another instance.
inline constexpr std::chrono::milliseconds kRetryAfterNoConfig{300};
// All tried backend servers were full: a running request of ordinary length has
// ended by then.
inline constexpr std::chrono::milliseconds kRetryAfterOverload{400};
// The retry reaches another instance or backend server, so it need not wait.
inline constexpr std::chrono::milliseconds kRetryAtOnce{20};

// Only the operator can change what excludes the request: the home regions or
// an evacuation.
inline constexpr std::chrono::milliseconds kRetryAfterOperator{2000};

// Returns the complete HTTP response, with a problem document as its body and
// "Connection: close" if `close`.
std::string ToHttpResponse(const Refusal& refusal,
                           const base::AttemptId& attempt,
                           bool close);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_REFUSAL_H_
