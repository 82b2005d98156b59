#include "dandelionmill/router/mailbox.h"

#include <utility>

namespace dandelionmill::router {

void Mailbox::Put(Instruction instruction) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    instructions_.push_back(std::move(instruction));
    size_.fetch_add(1, std::memory_order_release);
  }
  on_put_();
}

std::optional<Instruction> Mailbox::Take() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (instructions_.empty())
    return std::nullopt;
  Instruction instruction = std::move(instructions_.front());
  instructions_.pop_front();
  size_.fetch_sub(1, std::memory_order_release);
  return instruction;
}

}  // namespace dandelionmill::router
