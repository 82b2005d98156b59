#include "dandelionmill/backend/sse_parser.h"

#include <charconv>
#include <utility>

namespace dandelionmill::backend {
namespace {

std::uint64_t ParseSequence(std::string_view text) {
  std::uint64_t sequence = 0;
  const char* end = text.data() + text.size();
  const auto [stop, errc] = std::from_chars(text.data(), end, sequence);
  return errc == std::errc() && stop == end ? sequence : 0;
}

}  // namespace

bool SseParser::Feed(std::string_view bytes, std::vector<SseEvent>& events) {
  while (!bytes.empty()) {
    if (skip_newline_ && bytes.front() == '\n')
      bytes.remove_prefix(1);
    skip_newline_ = false;
    const std::size_t end = bytes.find_first_of("\r\n");
    if (end == std::string_view::npos) {
      partial_line_.append(bytes);
      return partial_line_.size() + event_.data.size() <= kMaxEventBytes;
    }
    if (partial_line_.empty()) {
      ParseLine(bytes.substr(0, end), events);
    } else {
      partial_line_.append(bytes.substr(0, end));
      const std::string line = std::exchange(partial_line_, {});
      ParseLine(line, events);
    }
    skip_newline_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    if (event_.data.size() > kMaxEventBytes)
      return false;
  }
  return true;
}

void SseParser::ParseLine(std::string_view line,
                          std::vector<SseEvent>& events) {
  if (line.empty()) {
    if (has_data_)
      events.push_back(std::move(event_));
    event_ = {};
    has_data_ = false;
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos)
    value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ')
    value.remove_prefix(1);
  if (field == "id") {
    event_.sequence = ParseSequence(value);
  } else if (field == "data") {
    if (has_data_)
      event_.data.push_back('\n');
    event_.data.append(value);
    has_data_ = true;
  }
}

}  // namespace dandelionmill::backend
