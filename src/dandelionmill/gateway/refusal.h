#ifndef SRC_DANDELIONMILL_GATEWAY_REFUSAL_H_
#define SRC_DANDELIONMILL_GATEWAY_REFUSAL_H_

#include <chrono>
#include <optional>
#include <string>

#include "dandelionmill/base/codes.h"
#include "dandelionmill/base/ids.h"

namespace dandelionmill::gateway {

// An answer that the fleet gives itself instead of a backend server's.
struct Refusal {
  int status = 503;
  base::Code code = base::Code::kInternal;
  // Whether a backend server ran the request.
  base::Ran ran = base::Ran::kNo;
  // When the caller should try again; not set when that would not help.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string detail;
};

// Returns the refusal of a request that no backend server has run or will run:
// 503, or the status of `code` where a repeat is of no use.
Refusal RefuseNotRun(base::Code code,
                     std::string detail,
                     std::optional<std::chrono::milliseconds> retry_after);

// Returns the answer to a request that a backend server may have run.
Refusal FailAfterRun(base::Code code, int status, std::string detail);

// When to come back to a service of which no backend server can be used now:
// ejected ones are tried again by then.
inline constexpr std::chrono::milliseconds kRetryWithoutBackend{500};
// When to come back after the platform's store could not be asked: its shortest
// outages are over by then.
inline constexpr std::chrono::milliseconds kRetryWithoutStore{1000};
// When to come back to an instance without a configuration: another one, or
// this one once it has read it.
inline constexpr std::chrono::milliseconds kRetryWithoutConfig{300};
// When to come back after all tried backend servers were full: a running
// request of ordinary length has ended by then.
inline constexpr std::chrono::milliseconds kRetryWhenFull{400};
// When to come back where the next try meets another instance or another
// backend server: at once.
inline constexpr std::chrono::milliseconds kRetryElsewhere{20};

// Returns the whole HTTP answer, with a problem document as its body.
std::string ToAnswer(const Refusal& refusal,
                     const base::AttemptId& attempt,
                     bool close);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_REFUSAL_H_
