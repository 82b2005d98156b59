#include "dandelionmill/gateway/memory_budget.h"

#include <algorithm>
#include <numeric>

namespace dandelionmill::gateway {

std::size_t MemoryBudget::LimitBytes(int memory_mb, int percent) {
  const std::size_t share = static_cast<std::size_t>(memory_mb) *
                            static_cast<std::size_t>(percent) * (1 << 20) / 100;
  return std::max(share, kMinLimitBytes);
}

void MemoryBudget::Set(Id id,
                       Use use,
                       std::size_t bytes,
                       base::MonoTime since) {
  Holding& holding = holdings_[id];
  Subtract(id, holding);
  holding = {use, bytes, since};
  by_use_[static_cast<std::size_t>(use)] += bytes;
  if (Order* order = OrderOf(holding))
    order->insert({since, id});
}

void MemoryBudget::Remove(Id id) {
  const auto found = holdings_.find(id);
  if (found == holdings_.end())
    return;
  Subtract(id, found->second);
  holdings_.erase(found);
}

std::optional<MemoryBudget::Drop> MemoryBudget::ChooseDrop() const {
  if (!is_exceeded())
    return std::nullopt;
  const bool is_reader_first =
      receiving_.empty() || bytes(Use::kSending) > limit_ / 2;
  if (is_reader_first && !sending_.empty())
    return Drop{sending_.begin()->second, Use::kSending};
  if (!receiving_.empty())
    return Drop{receiving_.rbegin()->second, Use::kReceiving};
  return std::nullopt;
}

std::size_t MemoryBudget::bytes() const {
  return std::accumulate(std::begin(by_use_), std::end(by_use_),
                         std::size_t{0});
}

MemoryBudget::Order* MemoryBudget::OrderOf(const Holding& holding) {
  if (holding.bytes <= kMinDropBytes)
    return nullptr;
  switch (holding.use) {
    case Use::kReceiving:
      return &receiving_;
    case Use::kSending:
      return &sending_;
    case Use::kOther:
      return nullptr;
  }
  return nullptr;
}

void MemoryBudget::Subtract(Id id, const Holding& holding) {
  by_use_[static_cast<std::size_t>(holding.use)] -= holding.bytes;
  if (Order* order = OrderOf(holding))
    order->erase({holding.since, id});
}

}  // namespace dandelionmill::gateway
