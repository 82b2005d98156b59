#ifndef SRC_DANDELIONMILL_LOG_INTERNAL_BOUNDED_APPENDER_H_
#define SRC_DANDELIONMILL_LOG_INTERNAL_BOUNDED_APPENDER_H_

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>

namespace dandelionmill::log::internal {

// Writes lines to a file descriptor without ever waiting for its reader. A line
// that the reader has no room for, or that exceeds the rate, is left out; the
// next line that is written says how many were.
class BoundedAppender : public log4cplus::Appender {
 public:
  // `descriptor` is set to non-blocking. `lines_per_s` is the rate over a
  // second; warnings and errors may exceed it twofold.
  BoundedAppender(int descriptor, int lines_per_s);
  ~BoundedAppender() override;

  void close() override {}

  // Lines left out so far.
  std::uint64_t left_out() const { return left_out_total_; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  bool TakeFromRate(bool is_urgent);

  const int descriptor_;
  const double lines_per_s_;
  double allowance_;
  std::chrono::steady_clock::time_point refilled_at_;
  std::uint64_t left_out_ = 0;
  std::uint64_t left_out_total_ = 0;
};

}  // namespace dandelionmill::log::internal

#endif  // SRC_DANDELIONMILL_LOG_INTERNAL_BOUNDED_APPENDER_H_
