#ifndef SRC_DANDELIONMILL_ROUTER_FIBER_MAILBOX_H_
#define SRC_DANDELIONMILL_ROUTER_FIBER_MAILBOX_H_

#include <memory>
#include <optional>

#include "dandelionmill/base/units.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/router/mailbox.h"

namespace dandelionmill::router {

// The receiving end of a mailbox: lets a fiber wait for instructions.
class FiberMailbox {
 public:
  explicit FiberMailbox(net::Fiber& fiber);

  // What the router actor puts instructions into.
  const std::shared_ptr<Mailbox>& sender() const { return mailbox_; }

  // Returns the next instruction, or nothing at `until`.
  std::optional<Instruction> Take(base::MonoTime until);
  bool HasMail() const { return mailbox_->HasMail(); }

 private:
  net::Fiber& fiber_;
  // Shared with notices that are on their way to the loop.
  const std::shared_ptr<net::Signal> arrived_;
  const std::shared_ptr<Mailbox> mailbox_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_FIBER_MAILBOX_H_
