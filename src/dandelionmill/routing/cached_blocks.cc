#include "dandelionmill/routing/cached_blocks.h"

#include "dandelionmill/base/digest.h"

namespace dandelionmill::routing {

void CachedBlocks::OnSent(const std::vector<std::string>& blocks) {
  for (const std::string& block : blocks)
    Insert(block);
}

void CachedBlocks::OnEvents(const std::vector<CacheEvent>& events) {
  for (const CacheEvent& event : events) {
    // A restarted engine numbers its events from 1 again.
    const bool restarted = event.sequence == 1 && last_sequence_ > 1;
    if (event.sequence <= last_sequence_ && !restarted)
      continue;
    if (restarted || event.sequence != last_sequence_ + 1)
      Clear();
    last_sequence_ = event.sequence;
    if (event.stored)
      Insert(event.block);
    else
      Erase(event.block);
  }
}

void CachedBlocks::Clear() {
  lru_.clear();
  positions_.clear();
}

int CachedBlocks::CountLeading(const std::vector<std::string>& blocks) const {
  int count = 0;
  for (const std::string& block : blocks) {
    if (positions_.count(base::StableHash(block)) == 0)
      break;
    ++count;
  }
  return count;
}

void CachedBlocks::Insert(const std::string& block) {
  const std::uint64_t hash = base::StableHash(block);
  const auto found = positions_.find(hash);
  if (found != positions_.end()) {
    lru_.splice(lru_.begin(), lru_, found->second);
    return;
  }
  lru_.push_front(hash);
  positions_[hash] = lru_.begin();
  if (positions_.size() > kMaxBlocks) {
    positions_.erase(lru_.back());
    lru_.pop_back();
  }
}

void CachedBlocks::Erase(const std::string& block) {
  const auto found = positions_.find(base::StableHash(block));
  if (found == positions_.end())
    return;
  lru_.erase(found->second);
  positions_.erase(found);
}

}  // namespace dandelionmill::routing
