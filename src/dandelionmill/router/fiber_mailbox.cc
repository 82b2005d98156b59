#include "dandelionmill/router/fiber_mailbox.h"

#include <boost/asio/post.hpp>

namespace dandelionmill::router {

FiberMailbox::FiberMailbox(net::Fiber& fiber)
    : fiber_(fiber),
      signal_(std::make_shared<net::Signal>(fiber.loop())),
      mailbox_(std::make_shared<Mailbox>(
          [&loop = fiber.loop(), weak = std::weak_ptr(signal_)] {
            boost::asio::post(loop, [weak] {
              if (const auto signal = weak.lock())
                signal->Notify();
            });
          })) {}

std::optional<Instruction> FiberMailbox::Take(base::MonoTime until) {
  while (!mailbox_->HasInstruction() && signal_->WaitUntil(fiber_, until))
    continue;
  return mailbox_->Take();
}

}  // namespace dandelionmill::router
