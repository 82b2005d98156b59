#include "dandelionmill/log/internal/bounded_appender.h"

#include <fcntl.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>
#include <string>

namespace dandelionmill::log::internal {

BoundedAppender::BoundedAppender(int descriptor, int lines_per_s)
    : descriptor_(descriptor),
      lines_per_s_(lines_per_s),
      available_lines_(lines_per_s),
      refilled_at_(std::chrono::steady_clock::now()) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0)
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

BoundedAppender::~BoundedAppender() {
  destructorImpl();
}

bool BoundedAppender::TryAcquireLine(bool is_urgent) {
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  available_lines_ =
      std::min(lines_per_s_, available_lines_ + elapsed.count() * lines_per_s_);
  if (available_lines_ < (is_urgent ? 1 - lines_per_s_ : 1))
    return false;
  available_lines_ -= 1;
  return true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  if (!TryAcquireLine(event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL)) {
    ++unreported_drops_;
    ++dropped_total_;
    return;
  }
  std::ostringstream out;
  layout->formatAndAppend(out, event);
  std::string line = out.str();
  if (unreported_drops_ > 0 && !line.empty() && line.back() == '\n') {
    line.pop_back();
    line += " lines_left_out=" + std::to_string(unreported_drops_) + "\n";
  }
  // A non-blocking pipe accepts a line of up to PIPE_BUF bytes completely or
  // not at all.
  const ssize_t written = ::write(descriptor_, line.data(), line.size());
  if (written == static_cast<ssize_t>(line.size())) {
    unreported_drops_ = 0;
  } else {
    ++unreported_drops_;
    ++dropped_total_;
  }
}

}  // namespace dandelionmill::log::internal
