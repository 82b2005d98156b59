#ifndef TESTS_SUPPORT_LOG_CAPTURE_H_
#define TESTS_SUPPORT_LOG_CAPTURE_H_

#include <log4cplus/logger.h>
#include <log4cplus/nullappender.h>

#include <iostream>
#include <sstream>
#include <string>

#include "dandelionmill/log/event.h"

namespace tests {

// Collects the log lines of information and above for the lifetime of the
// object. There may be one at a time.
class LogCapture {
 public:
  LogCapture() : previous_(std::cerr.rdbuf(text_.rdbuf())) {
    dandelionmill::log::Initialize("test", dandelionmill::log::Level::kInfo);
  }
  ~LogCapture() {
    std::cerr.rdbuf(previous_);
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(silent_);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  // Returns the number of lines that contain `text`.
  int Count(const std::string& text) const {
    int count = 0;
    std::istringstream lines(text_.str());
    for (std::string line; std::getline(lines, line);)
      count += line.find(text) != std::string::npos ? 1 : 0;
    return count;
  }

 private:
  std::ostringstream text_;
  std::streambuf* previous_;
  log4cplus::SharedAppenderPtr silent_{new log4cplus::NullAppender};
};

}  // namespace tests

#endif  // TESTS_SUPPORT_LOG_CAPTURE_H_
