#ifndef SRC_DANDELIONMILL_LOG_EVENT_H_
#define SRC_DANDELIONMILL_LOG_EVENT_H_

#include <chrono>
#include <sstream>
#include <string>
#include <string_view>

#include "dandelionmill/base/result.h"

namespace dandelionmill::log {

enum class Level { kDebug, kInfo, kWarning, kError };

// Sets up log4cplus: one line per event on standard error, at `level` and
// above. Call once, before any event.
void Initialize(std::string_view process, Level level);

// Sets up log4cplus: one line per event on standard output, never waiting for
// its reader. Lines beyond `lines_per_s`, or that the reader has no room for,
// are left out and counted in the next line. Call once, before any event.
void InitializeBounded(std::string_view process, Level level, int lines_per_s);

// Parses "debug", "info", "warning" or "error"; fails with kBadCommandLine.
base::Result<Level> ParseLevel(const std::string& text);

// One log line of key=value pairs. It is written when the object goes away:
//   log::Event(log::Level::kInfo, "lease_drawn").With("tokens", 500);
// Values with spaces, quotes or control characters are quoted and escaped.
// Never pass keys or other secrets.
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
