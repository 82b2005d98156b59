#ifndef SRC_DANDELIONMILL_ROUTER_FIBER_MAILBOX_H_
#define SRC_DANDELIONMILL_ROUTER_FIBER_MAILBOX_H_

#include <memory>
#include <optional>

#include "dandelionmill/base/units.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/router/mailbox.h"

namespace dandelionmill::router {

// The receiving end of a mailbox, on which a fiber can wait for instructions.
class FiberMailbox {
 public:
  explicit FiberMailbox(net::Fiber& fiber);

  // The mailbox into which the router actor puts instructions.
  const std::shared_ptr<Mailbox>& mailbox() const { return mailbox_; }

  // Returns the next instruction, or nullopt if none arrives before `until`.
  std::optional<Instruction> Take(base::MonoTime until);
  bool HasInstruction() const { return mailbox_->HasInstruction(); }

 private:
  net::Fiber& fiber_;
  // Weakly referenced by notifications that are queued on the loop.
  const std::shared_ptr<net::Signal> signal_;
  const std::shared_ptr<Mailbox> mailbox_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_FIBER_MAILBOX_H_
