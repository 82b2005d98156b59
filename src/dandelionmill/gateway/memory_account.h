#ifndef SRC_DANDELIONMILL_GATEWAY_MEMORY_ACCOUNT_H_
#define SRC_DANDELIONMILL_GATEWAY_MEMORY_ACCOUNT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>

#include "dandelionmill/gateway/memory_budget.h"

namespace dandelionmill::gateway {

// The memory budget of the instance and the connections that it applies to.
// Drops them on the event loop, never from within a call.
class MemoryAccount {
 public:
  // A connection that holds memory.
  class Holder {
   public:
    virtual ~Holder() = default;
    // The budget is exceeded: refuses the request that is being received, or
    // closes the connection. Must release what it holds for `use`.
    virtual void OnMemoryExceeded(MemoryBudget::Use use) = 0;
  };

  // `loop` must outlive this.
  MemoryAccount(boost::asio::io_context& loop, std::size_t limit_bytes)
      : loop_(loop), budget_(limit_bytes) {}

  // Commands.
  // Returns the id of the holder. It must call Remove before it is destroyed.
  MemoryBudget::Id Add(Holder& holder) {
    holders_[++last_id_] = &holder;
    return last_id_;
  }
  void Remove(MemoryBudget::Id id) {
    holders_.erase(id);
    budget_.Remove(id);
  }
  void Set(MemoryBudget::Id id,
           MemoryBudget::Use use,
           std::size_t bytes,
           base::MonoTime since) {
    budget_.Set(id, use, bytes, since);
    if (!is_check_posted_ && budget_.is_exceeded()) {
      is_check_posted_ = true;
      boost::asio::post(loop_, [this] { DropExcess(); });
    }
  }

  const MemoryBudget& budget() const { return budget_; }

 private:
  void DropExcess() {
    is_check_posted_ = false;
    while (const auto drop = budget_.ChooseDrop()) {
      Holder* holder = holders_.at(drop->id);
      // Not chosen again, also if it still holds some bytes for a moment.
      budget_.Remove(drop->id);
      holder->OnMemoryExceeded(drop->use);
    }
  }

  boost::asio::io_context& loop_;
  MemoryBudget budget_;
  std::map<MemoryBudget::Id, Holder*> holders_;
  MemoryBudget::Id last_id_ = 0;
  bool is_check_posted_ = false;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_MEMORY_ACCOUNT_H_
