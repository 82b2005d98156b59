#ifndef SRC_DANDELIONMILL_BACKEND_PROBE_H_
#define SRC_DANDELIONMILL_BACKEND_PROBE_H_

#include <chrono>
#include <string>
#include <variant>

#include "dandelionmill/backend/chunk.h"
#include "dandelionmill/base/ids.h"
#include "dandelionmill/net/address.h"
#include "dandelionmill/net/fiber.h"

namespace dandelionmill::backend {

// A backend server's record of an attempt.
struct AttemptRecord {
  enum class State { kRunning, kCompleted, kCancelled };
  State state = State::kRunning;
  Usage usage;
};
// The backend server responds but has no record of the attempt, because it
// never received it or no longer keeps the record.
struct AttemptUnknown {};
// The backend server's address refuses connections: its process is down.
struct BackendDown {};
// No response within the timeout, or an unusable one: the state of the attempt
// is unknown.
struct ProbeInconclusive {};

using ProbeResult =
    std::variant<AttemptRecord, AttemptUnknown, BackendDown, ProbeInconclusive>;

// Returns the URL path of an attempt's record.
std::string AttemptPath(const base::AttemptId& attempt);

// Fetches a backend server's record of an attempt over a new connection. Takes
// at most about `timeout`.
ProbeResult ProbeAttempt(net::Fiber& fiber,
                         const net::Address& address,
                         const base::AttemptId& attempt,
                         std::chrono::milliseconds timeout);

// Cancels an attempt. Returns the same results as ProbeAttempt().
ProbeResult CancelAttempt(net::Fiber& fiber,
                          const net::Address& address,
                          const base::AttemptId& attempt,
                          std::chrono::milliseconds timeout);

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_PROBE_H_
