#ifndef SRC_DANDELIONMILL_ROUTING_CACHED_BLOCKS_H_
#define SRC_DANDELIONMILL_ROUTING_CACHED_BLOCKS_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "dandelionmill/routing/dispatcher.h"

namespace dandelionmill::routing {

// Estimates which prompt blocks a model engine has cached: those of recently
// sent requests, corrected by the engine's delayed cache events. A gap in the
// events discards the estimate. Bounded, with LRU eviction as in the engine.
// Performs no I/O.
class CachedBlocks {
 public:
  static constexpr std::size_t kMaxBlocks = 8192;

  // Commands.
  void OnSent(const std::vector<std::string>& blocks);
  void OnEvents(const std::vector<CacheEvent>& events);
  void Clear();

  // Queries.
  // Returns the number of leading blocks that are estimated to be cached.
  int CountLeading(const std::vector<std::string>& blocks) const;
  std::size_t size() const { return positions_.size(); }

 private:
  using LruList = std::list<std::uint64_t>;

  void Insert(const std::string& block);
  void Erase(const std::string& block);

  std::uint64_t last_sequence_ = 0;
  // Hashes of the blocks, most recently used first.
  LruList lru_;
  std::unordered_map<std::uint64_t, LruList::iterator> positions_;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_CACHED_BLOCKS_H_
