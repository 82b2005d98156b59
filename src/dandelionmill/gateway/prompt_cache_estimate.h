#ifndef SRC_DANDELIONMILL_GATEWAY_PROMPT_CACHE_ESTIMATE_H_
#define SRC_DANDELIONMILL_GATEWAY_PROMPT_CACHE_ESTIMATE_H_

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/request_metadata.h"

namespace dandelionmill::gateway {

// Estimates which prompt parts a backend server has cached, from the requests
// that this instance sent to it. Evicts the least recently used parts. Pure.
class PromptCacheEstimate {
 public:
  // `capacity` is in tokens.
  explicit PromptCacheEstimate(base::Tokens capacity = 0)
      : capacity_(capacity) {}

  void SetCapacity(base::Tokens capacity) { capacity_ = capacity; }
  // The backend server has received a prompt with these parts.
  void Add(const std::vector<PromptPart>& parts);
  void Clear();
  // Returns the number of leading prompt tokens that are cached.
  base::Tokens CachedTokens(const std::vector<PromptPart>& parts) const;

 private:
  struct Entry {
    std::string id;
    base::Tokens tokens;
  };

  base::Tokens capacity_;
  base::Tokens used_ = 0;
  // Most recently used first.
  std::list<Entry> entries_;
  std::unordered_map<std::string, std::list<Entry>::iterator> by_id_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PROMPT_CACHE_ESTIMATE_H_
