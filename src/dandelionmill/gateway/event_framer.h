#ifndef SRC_DANDELIONMILL_GATEWAY_EVENT_FRAMER_H_
#define SRC_DANDELIONMILL_GATEWAY_EVENT_FRAMER_H_

#include <string>
#include <string_view>
#include <vector>

namespace dandelionmill::gateway {

// One whole server-sent event as it was received.
struct FramedEvent {
  // Its bytes with the empty line that ends it.
  std::string bytes;
  // The value of its `id` field; empty without one.
  std::string id;
};

// Cuts a byte stream into whole server-sent events without changing a byte, so
// that they can be forwarded as they are and none is forwarded in part. Pure.
class EventFramer {
 public:
  // Bytes of an unfinished event beyond which the stream is refused.
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Consumes `bytes` and appends the events that they complete to `events`.
  // Returns false once an event exceeds kMaxEventBytes.
  bool Feed(std::string_view bytes, std::vector<FramedEvent>& events);

  // Bytes of an event that is not complete.
  std::size_t unfinished_bytes() const { return pending_.size(); }

 private:
  std::string pending_;
  // Where in pending_ the line under way begins.
  std::size_t line_begin_ = 0;
  // Where in pending_ the search for its end goes on.
  std::size_t scanned_ = 0;
  std::string id_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_EVENT_FRAMER_H_
