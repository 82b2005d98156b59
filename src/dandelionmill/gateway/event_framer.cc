#include "dandelionmill/gateway/event_framer.h"

#include <utility>

namespace dandelionmill::gateway {
namespace {

constexpr std::string_view kIdField = "id:";

// Returns the value of an `id` line without the optional space after the colon.
std::string ParseId(std::string_view line) {
  line.remove_prefix(kIdField.size());
  if (!line.empty() && line.front() == ' ')
    line.remove_prefix(1);
  return std::string(line);
}

}  // namespace

bool EventFramer::Feed(std::string_view bytes,
                       std::vector<FramedEvent>& events) {
  pending_.append(bytes);
  for (;;) {
    const std::size_t end = pending_.find('\n', scanned_);
    if (end == std::string::npos) {
      scanned_ = pending_.size();
      return pending_.size() <= kMaxEventBytes;
    }
    std::string_view line(pending_.data() + line_begin_, end - line_begin_);
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (line.substr(0, kIdField.size()) == kIdField)
      id_ = ParseId(line);
    const bool ends_event = line.empty();
    line_begin_ = end + 1;
    scanned_ = line_begin_;
    if (!ends_event)
      continue;
    FramedEvent event;
    event.bytes = pending_.substr(0, line_begin_);
    event.id = std::exchange(id_, std::string());
    events.push_back(std::move(event));
    pending_.erase(0, line_begin_);
    line_begin_ = 0;
    scanned_ = 0;
  }
}

}  // namespace dandelionmill::gateway
