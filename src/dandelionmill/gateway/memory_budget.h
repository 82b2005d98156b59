#ifndef SRC_DANDELIONMILL_GATEWAY_MEMORY_BUDGET_H_
#define SRC_DANDELIONMILL_GATEWAY_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Accounts for the bytes that connections hold and decides which of them is
// dropped when they exceed the budget of the instance. Pure.
class MemoryBudget {
 public:
  using Id = std::uint64_t;

  // What the bytes of a connection are held for.
  enum class Use {
    // A request that is not complete yet. `since` is when it began.
    kReceiving,
    // A response that its reader has not taken yet. `since` is when the reader
    // last took bytes.
    kSending,
    // A complete request in progress, an idle connection or a relayed one.
    // Never dropped.
    kOther,
  };
  static constexpr std::size_t kUses = 3;

  struct Drop {
    Id id = 0;
    Use use = Use::kOther;
  };

  // A connection that holds no more than this is never dropped, so that
  // ordinary requests are served while others hold the whole budget. Twice the
  // size of a read, which is what an idle connection may hold.
  static constexpr std::size_t kMinDropBytes = 32 << 10;

  // Smallest budget: two of the largest request bodies of 4 MB. Less would
  // refuse a single request within the limits.
  static constexpr std::size_t kMinLimitBytes = 8 << 20;

  // Returns `percent` of the memory of the machine, at least kMinLimitBytes.
  static std::size_t LimitBytes(int memory_mb, int percent);

  explicit MemoryBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}

  // Commands.
  // Sets what the connection `id` holds; adds it if it is not known.
  void Set(Id id, Use use, std::size_t bytes, base::MonoTime since);
  void Remove(Id id);

  // Queries.
  // Returns which connection to drop; nothing while the budget is kept or if
  // none can be dropped. Responses that wait may hold half of the budget while
  // it is exceeded; above that the slowest reader is dropped. Otherwise the
  // newest unfinished request is, or the slowest reader if there is none.
  std::optional<Drop> ChooseDrop() const;
  // Whether little is left: responses should not be buffered as a whole.
  bool is_tight() const { return bytes() > limit_ / 4 * 3; }
  bool is_exceeded() const { return bytes() > limit_; }
  std::size_t limit() const { return limit_; }
  std::size_t bytes() const;
  std::size_t bytes(Use use) const {
    return by_use_[static_cast<std::size_t>(use)];
  }

 private:
  struct Holding {
    Use use = Use::kOther;
    std::size_t bytes = 0;
    base::MonoTime since{};
  };
  using Order = std::set<std::pair<base::MonoTime, Id>>;

  // The order in which connections with such a holding are dropped; nullptr
  // for those that never are.
  Order* OrderOf(const Holding& holding);
  void Subtract(Id id, const Holding& holding);

  const std::size_t limit_;
  std::unordered_map<Id, Holding> holdings_;
  std::size_t by_use_[kUses] = {};
  Order receiving_;
  Order sending_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_MEMORY_BUDGET_H_
