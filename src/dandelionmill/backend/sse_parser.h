#ifndef SRC_DANDELIONMILL_BACKEND_SSE_PARSER_H_
#define SRC_DANDELIONMILL_BACKEND_SSE_PARSER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmill::backend {

// A server-sent event. `sequence` is the value of its `id` field, or 0 if the
// field is absent or not a number.
struct SseEvent {
  std::uint64_t sequence = 0;
  std::string data;
};

// An incremental parser of server-sent events (WHATWG HTML, section 9.2).
// Comments and fields other than `id` and `data` are ignored, and events
// without data are dropped.
class SseParser {
 public:
  // Maximum size of an incomplete event in bytes.
  static constexpr std::size_t kMaxEventBytes = 4 << 20;

  // Parses the next `bytes` of the stream, split at any position, and appends
  // the completed events to `events`. Returns false if an event exceeds
  // kMaxEventBytes; the stream is then unusable.
  bool Feed(std::string_view bytes, std::vector<SseEvent>& events);

 private:
  void ParseLine(std::string_view line, std::vector<SseEvent>& events);

  // The incomplete last line.
  std::string partial_line_;
  SseEvent event_;
  bool has_data_ = false;
  // Set after a CR: an LF that follows belongs to the same line end.
  bool skip_newline_ = false;
};

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_SSE_PARSER_H_
