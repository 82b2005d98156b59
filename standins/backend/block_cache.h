#ifndef STANDINS_BACKEND_BLOCK_CACHE_H_
#define STANDINS_BACKEND_BLOCK_CACHE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "dandelionmill/base/units.h"

namespace standins::backend {

// A change of the cache as published by the engine.
struct CacheEvent {
  // Counts from 1; lost events leave gaps.
  std::uint64_t sequence = 0;
  // Whether the block was stored; false if it was evicted.
  bool stored = true;
  std::string block;
  dandelionmill::base::MonoTime published_at;
};

// The prefix cache of a model engine, with least-recently-used eviction. Events
// are published with a delay, and some are lost. Not thread-safe.
class BlockCache {
 public:
  struct Options {
    std::size_t capacity = 4096;  // blocks
    std::chrono::milliseconds event_lag{500};
    // Percentage of events that are lost.
    int gap_percent = 2;
    std::uint64_t seed = 1;
  };

  explicit BlockCache(Options options);

  // Stores the blocks of a prompt. Returns the number of leading blocks that
  // were already cached.
  int Use(const std::vector<std::string>& blocks,
          dandelionmill::base::MonoTime now);

  std::size_t size() const { return lru_order_.size(); }
  // Returns up to `limit` events with a sequence number above `after` that have
  // been published by `now`.
  std::vector<CacheEvent> Events(std::uint64_t after,
                                 std::size_t limit,
                                 dandelionmill::base::MonoTime now) const;

 private:
  void Store(const std::string& block, dandelionmill::base::MonoTime now);
  void Publish(bool stored,
               const std::string& block,
               dandelionmill::base::MonoTime now);

  const Options options_;
  std::mt19937_64 random_;
  // Most recently used first.
  std::list<std::string> lru_order_;
  std::unordered_map<std::string, std::list<std::string>::iterator> positions_;
  std::uint64_t last_sequence_ = 0;
  std::deque<CacheEvent> events_;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_BLOCK_CACHE_H_
