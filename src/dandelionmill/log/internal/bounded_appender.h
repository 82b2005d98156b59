#ifndef SRC_DANDELIONMILL_LOG_INTERNAL_BOUNDED_APPENDER_H_
#define SRC_DANDELIONMILL_LOG_INTERNAL_BOUNDED_APPENDER_H_

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>

namespace dandelionmill::log::internal {

// Writes log lines to a file descriptor without blocking. Lines that exceed the
// rate limit or cannot be written at once are dropped; the next line written
// reports how many were.
class BoundedAppender : public log4cplus::Appender {
 public:
  // Sets `descriptor` to non-blocking mode. `lines_per_s` is both the rate and
  // the burst size of a token bucket; warnings and errors may take a burst of
  // twice that size.
  BoundedAppender(int descriptor, int lines_per_s);
  ~BoundedAppender() override;

  void close() override {}

  // Returns the number of lines dropped since construction.
  std::uint64_t dropped_lines() const { return dropped_total_; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  // Takes one line from the token bucket; returns false when the rate limit is
  // exceeded. The bucket may go down to -lines_per_s_ for urgent lines.
  bool TryAcquireLine(bool is_urgent);

  const int descriptor_;
  const double lines_per_s_;
  double available_lines_;
  std::chrono::steady_clock::time_point refilled_at_;
  // Dropped since the last line that was written.
  std::uint64_t unreported_drops_ = 0;
  std::uint64_t dropped_total_ = 0;
};

}  // namespace dandelionmill::log::internal

#endif  // SRC_DANDELIONMILL_LOG_INTERNAL_BOUNDED_APPENDER_H_
