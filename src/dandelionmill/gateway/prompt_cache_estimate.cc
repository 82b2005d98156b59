#include "dandelionmill/gateway/prompt_cache_estimate.h"

namespace dandelionmill::gateway {

void PromptCacheEstimate::Add(const std::vector<PromptPart>& parts) {
  for (const PromptPart& part : parts) {
    const auto known = by_id_.find(part.id);
    if (known != by_id_.end()) {
      entries_.splice(entries_.begin(), entries_, known->second);
      continue;
    }
    entries_.push_front({part.id, part.tokens});
    by_id_[part.id] = entries_.begin();
    used_ += part.tokens;
  }
  while (used_ > capacity_ && !entries_.empty()) {
    used_ -= entries_.back().tokens;
    by_id_.erase(entries_.back().id);
    entries_.pop_back();
  }
}

void PromptCacheEstimate::Clear() {
  entries_.clear();
  by_id_.clear();
  used_ = 0;
}

base::Tokens PromptCacheEstimate::CachedTokens(
    const std::vector<PromptPart>& parts) const {
  base::Tokens cached = 0;
  for (const PromptPart& part : parts) {
    if (by_id_.count(part.id) == 0)
      break;
    cached += part.tokens;
  }
  return cached;
}

}  // namespace dandelionmill::gateway
