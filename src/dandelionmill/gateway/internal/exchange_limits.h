#ifndef SRC_DANDELIONMILL_GATEWAY_INTERNAL_EXCHANGE_LIMITS_H_
#define SRC_DANDELIONMILL_GATEWAY_INTERNAL_EXCHANGE_LIMITS_H_

#include <chrono>

namespace dandelionmill::gateway::internal {

// Remaining time below which no further attempt is started.
inline constexpr std::chrono::milliseconds kMinAttemptTime{40};

}  // namespace dandelionmill::gateway::internal

#endif  // SRC_DANDELIONMILL_GATEWAY_INTERNAL_EXCHANGE_LIMITS_H_
