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

// Send the request to this backend server now, or, with `attach`, read the
// answer of the attempt that runs there already.
struct RunOn {
  base::AttemptId attempt;
  base::BackendId backend;
  net::Address address;
  bool attach = false;
};

// Answer the caller with this problem now.
struct GiveUp {
  Problem problem;
};

// Stop without cancelling anything: another router has taken over the request,
// or the caller left before it ran.
struct TakenOver {};

// Another request of this router follows the same attempt: do not cancel it.
struct Shared {};

// Answers the news that the caller left.
struct CancelDecision {
  bool cancel = false;
};

using Instruction =
    std::variant<RunOn, GiveUp, TakenOver, Shared, CancelDecision>;

// Carries instructions from the router actor to the fiber that serves one
// caller. Safe from any thread.
class Mailbox {
 public:
  // `on_mail` is called after each Put, on its thread.
  explicit Mailbox(std::function<void()> on_mail = [] {})
      : on_mail_(std::move(on_mail)) {}

  void Put(Instruction instruction);

  // Returns the next instruction, or nothing.
  std::optional<Instruction> Take();

  // Whether Take would return something; cheap enough for every event.
  bool HasMail() const { return size_.load(std::memory_order_acquire) > 0; }

 private:
  const std::function<void()> on_mail_;
  std::mutex mutex_;
  std::deque<Instruction> instructions_;
  std::atomic<int> size_{0};
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_MAILBOX_H_
