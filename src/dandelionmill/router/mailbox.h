#ifndef SRC_DANDELIONMILL_ROUTER_MAILBOX_H_
#define SRC_DANDELIONMILL_ROUTER_MAILBOX_H_

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/net/address.h"
#include "dandelionmill/router/problem.h"

namespace dandelionmill::router {

// Send the request to this backend server, or, with `attach`, read the answer
// of the attempt that is already running there.
struct RunAttempt {
  base::AttemptId attempt;
  base::BackendId backend;
  net::Address address;
  bool attach = false;
};

// End the request and answer the caller with this problem.
struct FailRequest {
  Problem problem;
};

// End the request without cancelling the attempt: another router has taken it
// over, or the caller disconnected before it was sent.
struct StopFollowing {};

// Another request of this router reads the same attempt: do not cancel it.
struct MarkShared {};

// Reply to CallerDisconnected: whether to cancel the attempt.
struct CancelDecision {
  bool cancel = false;
};

using Instruction = std::
    variant<RunAttempt, FailRequest, StopFollowing, MarkShared, CancelDecision>;

// Queue of instructions from the router actor to the fiber that serves one
// caller. Thread-safe.
class Mailbox {
 public:
  // `on_put` is called after each Put, on the thread that called Put.
  explicit Mailbox(std::function<void()> on_put = [] {})
      : on_put_(std::move(on_put)) {}

  void Put(Instruction instruction);

  // Returns the next instruction, or nullopt if there is none.
  std::optional<Instruction> Take();

  // Whether Take would return an instruction. Takes no lock, so that it can be
  // called for every stream event.
  bool HasInstruction() const {
    return size_.load(std::memory_order_acquire) > 0;
  }

 private:
  const std::function<void()> on_put_;
  std::mutex mutex_;
  std::deque<Instruction> instructions_;
  std::atomic<int> size_{0};
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_MAILBOX_H_
