#ifndef SRC_DANDELIONMILL_LOG_EVENT_H_
#define SRC_DANDELIONMILL_LOG_EVENT_H_

#include <chrono>
#include <sstream>
#include <string>
#include <string_view>

#include "dandelionmill/base/result.h"

namespace dandelionmill::log {

enum class Level { kDebug, kInfo, kWarning, kError };

// Configures log4cplus to write one line per event of `level` and above to
// standard error. Must be called once, before any event.
void Initialize(std::string_view process, Level level);

// Configures log4cplus to write events of `level` and above to standard output
// without blocking. Lines over `lines_per_s` or that the output cannot take are
// dropped and counted in the next line. Must be called once, before any event.
void InitializeBounded(std::string_view process, Level level, int lines_per_s);

// Parses "debug", "info", "warning" or "error"; fails with kBadCommandLine.
base::Result<Level> ParseLevel(const std::string& text);

// Builds one log line of key=value pairs, which the destructor writes:
//   log::Event(log::Level::kInfo, "lease_drawn").With("tokens", 500);
// Values that are empty or hold spaces, '"', '=', '\' or control characters are
// quoted and escaped. Must not be given API keys or other secrets.
class Event {
 public:
  Event(Level level, std::string_view name);
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  template <class T>
  Event& With(std::string_view key, const T& value) {
    if (enabled_) {
      std::ostringstream text;
      text << value;
      Append(key, text.str());
    }
    return *this;
  }

  Event& With(std::string_view key, std::chrono::milliseconds value) {
    return With(key, value.count());
  }

  Event& With(const base::Error& error) {
    return With("code", static_cast<int>(error.code))
        .With("detail", error.detail);
  }

 private:
  void Append(std::string_view key, const std::string& value);

  const Level level_;
  const bool enabled_;
  std::string line_;
};

}  // namespace dandelionmill::log

#endif  // SRC_DANDELIONMILL_LOG_EVENT_H_
