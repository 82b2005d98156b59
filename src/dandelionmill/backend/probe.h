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
// The backend server answers but has never seen the attempt, or forgot it.
struct AttemptUnknown {};
// The backend server's address refuses connections: its process is down.
struct BackendDown {};
// No answer in time, or an unusable one: nothing can be said.
struct NoAnswer {};

using ProbeResult =
    std::variant<AttemptRecord, AttemptUnknown, BackendDown, NoAnswer>;

// Returns the path of an attempt's record.
std::string AttemptPath(const base::AttemptId& attempt);

// Asks a backend server about an attempt over a new connection. Takes at most
// about `timeout`.
ProbeResult ProbeAttempt(net::Fiber& fiber,
                         const net::Address& address,
                         const base::AttemptId& attempt,
                         std::chrono::milliseconds timeout);

// Cancels an attempt; answers like a probe.
ProbeResult CancelAttempt(net::Fiber& fiber,
                          const net::Address& address,
                          const base::AttemptId& attempt,
                          std::chrono::milliseconds timeout);

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_PROBE_H_
