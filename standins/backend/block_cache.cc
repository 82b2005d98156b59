#include "standins/backend/block_cache.h"

#include <algorithm>

namespace standins::backend {
namespace {

constexpr std::size_t kMaxRetainedEvents = 20000;

}  // namespace

BlockCache::BlockCache(Options options)
    : options_(options), random_(options.seed) {}

int BlockCache::Use(const std::vector<std::string>& blocks,
                    dandelionmill::base::MonoTime now) {
  const auto missing = std::find_if(blocks.begin(), blocks.end(),
                                    [this](const std::string& block) {
                                      return positions_.count(block) == 0;
                                    });
  // Store in reverse order, so that the leading blocks are the most recently
  // used.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
    Store(*block, now);
  return static_cast<int>(missing - blocks.begin());
}

std::vector<CacheEvent> BlockCache::Events(
    std::uint64_t after,
    std::size_t limit,
    dandelionmill::base::MonoTime now) const {
  std::vector<CacheEvent> found;
  auto event =
      std::upper_bound(events_.begin(), events_.end(), after,
                       [](std::uint64_t sequence, const CacheEvent& e) {
                         return sequence < e.sequence;
                       });
  for (; event != events_.end() && found.size() < limit; ++event) {
    if (event->published_at > now)
      break;
    found.push_back(*event);
  }
  return found;
}

void BlockCache::Store(const std::string& block,
                       dandelionmill::base::MonoTime now) {
  const auto position = positions_.find(block);
  if (position != positions_.end()) {
    lru_order_.splice(lru_order_.begin(), lru_order_, position->second);
    return;
  }
  if (options_.capacity == 0)
    return;
  if (lru_order_.size() >= options_.capacity) {
    Publish(false, lru_order_.back(), now);
    positions_.erase(lru_order_.back());
    lru_order_.pop_back();
  }
  lru_order_.push_front(block);
  positions_[block] = lru_order_.begin();
  Publish(true, block, now);
}

void BlockCache::Publish(bool stored,
                         const std::string& block,
                         dandelionmill::base::MonoTime now) {
  ++last_sequence_;
  if (static_cast<int>(random_() % 100) < options_.gap_percent)
    return;
  events_.push_back({last_sequence_, stored, block, now + options_.event_lag});
  if (events_.size() > kMaxRetainedEvents)
    events_.pop_front();
}

}  // namespace standins::backend
