#ifndef SRC_DANDELIONMILL_GATEWAY_EVENT_FRAMER_H_
#define SRC_DANDELIONMILL_GATEWAY_EVENT_FRAMER_H_

#include <string>
#include <string_view>
#include <vector>

namespace dandelionmill::gateway {

// One complete server-sent event as received.
struct FramedEvent {
  // All bytes, including the empty line that ends the event.
  std::string bytes;
  // Value of the `id` field; empty if there is none.
  std::string id;
};

// Splits a byte stream into complete server-sent events without changing any
// byte, so that events are forwarded unmodified and never in part. Pure.
class EventFramer {
 public:
  // Largest size of an event in bytes.
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Consumes `bytes` and appends the events that they complete to `events`.
  // Returns false once an incomplete event exceeds kMaxEventBytes.
  bool Feed(std::string_view bytes, std::vector<FramedEvent>& events);

  // Buffered bytes of an incomplete event.
  std::size_t unfinished_bytes() const { return pending_.size(); }

 private:
  std::string pending_;
  // Offset in pending_ of the start of the current line.
  std::size_t line_begin_ = 0;
  // Offset in pending_ from which to search for the end of that line.
  std::size_t scanned_ = 0;
  std::string id_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_EVENT_FRAMER_H_
