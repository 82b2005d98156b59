#ifndef SRC_DANDELIONMILL_LOG_EVENT_H_
#define SRC_DANDELIONMILL_LOG_EVENT_H_

#include <charconv>
#include <chrono>
#include <cstddef>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include "dandelionmill/base/ids.h"
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
    if (!enabled_)
      return *this;
    // A stream for each value would take most of the time of a line.
    if constexpr (std::is_convertible_v<const T&, std::string_view>) {
      AppendText(key, value);
    } else if constexpr (IsNumber<T>()) {
      // Promotes bool, which std::to_chars does not accept.
      AppendNumber(key, +value);
    } else {
      std::ostringstream text;
      text << value;
      AppendText(key, text.str());
    }
    return *this;
  }

  template <class Tag>
  Event& With(std::string_view key, const base::Id<Tag>& id) {
    return With(key, id.value());
  }

  Event& With(std::string_view key, std::chrono::milliseconds value) {
    return With(key, value.count());
  }

  Event& With(const base::Error& error) {
    return With("code", static_cast<int>(error.code))
        .With("detail", error.detail);
  }

 private:
  // Whether values of the type are integers and not characters.
  template <class T>
  static constexpr bool IsNumber() {
    return std::is_integral_v<T> &&
           (std::is_same_v<T, bool> || sizeof(T) > sizeof(char));
  }

  template <class T>
  void AppendNumber(std::string_view key, T number) {
    char digits[24];
    const char* end =
        std::to_chars(digits, digits + sizeof(digits), number).ptr;
    AppendText(key, {digits, static_cast<std::size_t>(end - digits)});
  }

  void AppendText(std::string_view key, std::string_view value);

  const Level level_;
  const bool enabled_;
  std::string line_;
};

}  // namespace dandelionmill::log

#endif  // SRC_DANDELIONMILL_LOG_EVENT_H_
