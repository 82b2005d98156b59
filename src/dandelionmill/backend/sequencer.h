#ifndef SRC_DANDELIONMILL_BACKEND_SEQUENCER_H_
#define SRC_DANDELIONMILL_BACKEND_SEQUENCER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dandelionmill/backend/sse_parser.h"

namespace dandelionmill::backend {

// Restores the order of a stream whose events are numbered from 1: drops
// duplicates, buffers events that arrive early and detects gaps. Works across
// connections, because a resumed stream keeps its sequence numbers.
class Sequencer {
 public:
  // Maximum number of buffered events. Further early events are dropped; a
  // resume delivers them again.
  static constexpr std::size_t kMaxBuffered = 1024;

  // Adds one event and appends the events that are now in order to `ready`. An
  // event without a sequence number is taken as the next one.
  void Add(SseEvent event, std::vector<SseEvent>& ready);

  // The sequence number of the last event in order, 0 before the first. A
  // resume starts after it.
  std::uint64_t last_sequence() const { return next_sequence_ - 1; }

  // Returns whether events are buffered that wait for a missing one.
  bool HasGap() const { return !buffered_.empty(); }

 private:
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, std::string> buffered_;
};

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_SEQUENCER_H_
