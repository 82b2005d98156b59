#include "dandelionmill/router/fiber_mailbox.h"

#include <boost/asio/post.hpp>

namespace dandelionmill::router {

FiberMailbox::FiberMailbox(net::Fiber& fiber)
    : fiber_(fiber),
      arrived_(std::make_shared<net::Signal>(fiber.loop())),
      mailbox_(std::make_shared<Mailbox>(
          [&loop = fiber.loop(), weak = std::weak_ptr(arrived_)] {
            boost::asio::post(loop, [weak] {
              if (const auto arrived = weak.lock())
                arrived->Notify();
            });
          })) {}

std::optional<Instruction> FiberMailbox::Take(base::MonoTime until) {
  while (!mailbox_->HasMail() && arrived_->WaitUntil(fiber_, until))
    continue;
  return mailbox_->Take();
}

}  // namespace dandelionmill::router
