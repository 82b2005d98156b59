#include "dandelionmill/backend/sequencer.h"

#include <utility>

namespace dandelionmill::backend {

void Sequencer::Add(SseEvent event, std::vector<SseEvent>& ready) {
  if (event.sequence == 0)
    event.sequence = next_sequence_;
  if (event.sequence < next_sequence_)
    return;
  if (event.sequence > next_sequence_) {
    if (buffered_.size() < kMaxBuffered)
      buffered_.emplace(event.sequence, std::move(event.data));
    return;
  }
  ready.push_back(std::move(event));
  ++next_sequence_;
  for (auto buffered = buffered_.begin();
       buffered != buffered_.end() && buffered->first == next_sequence_;) {
    ready.push_back({buffered->first, std::move(buffered->second)});
    ++next_sequence_;
    buffered = buffered_.erase(buffered);
  }
}

}  // namespace dandelionmill::backend
