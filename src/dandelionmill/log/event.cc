#include "dandelionmill/log/event.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/nullappender.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <memory>

#include "dandelionmill/log/internal/bounded_appender.h"

namespace dandelionmill::log {
namespace {

log4cplus::LogLevel ToLog4cplus(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

// Initializes log4cplus with a null appender, so that programs that never call
// Initialize, such as tests, log nothing.
class LibraryInitializer {
 public:
  LibraryInitializer() {
    log4cplus::Logger::getRoot().addAppender(
        log4cplus::SharedAppenderPtr(new log4cplus::NullAppender));
  }

 private:
  const log4cplus::Initializer initializer_;
};

log4cplus::Logger RootLogger() {
  static const LibraryInitializer library;
  return log4cplus::Logger::getRoot();
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte <= ' ' || c == '"' || c == '=' || c == '\\';
         });
}

std::string Quote(std::string_view value) {
  static const char kHexDigits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (byte < ' ') {
      quoted += "\\x";
      quoted += kHexDigits[byte >> 4];
      quoted += kHexDigits[byte & 0xF];
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

void InstallAppender(std::string_view process,
                     Level level,
                     log4cplus::SharedAppenderPtr appender) {
  log4cplus::Logger root = RootLogger();
  root.removeAllAppenders();
  const std::string pattern =
      "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=" + std::string(process) +
      " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(level));
}

}  // namespace

void Initialize(std::string_view process, Level level) {
  InstallAppender(
      process, level,
      log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)));
}

void InitializeBounded(std::string_view process, Level level, int lines_per_s) {
  InstallAppender(process, level,
                  log4cplus::SharedAppenderPtr(new internal::BoundedAppender(
                      STDOUT_FILENO, lines_per_s)));
}

base::Result<Level> ParseLevel(const std::string& text) {
  if (text == "debug")
    return Level::kDebug;
  if (text == "info")
    return Level::kInfo;
  if (text == "warning")
    return Level::kWarning;
  if (text == "error")
    return Level::kError;
  return base::Error{
      base::Code::kBadCommandLine,
      "log level \"" + text + "\" is not debug, info, warning or error"};
}

Event::Event(Level level, std::string_view name)
    : level_(level), enabled_(RootLogger().isEnabledFor(ToLog4cplus(level))) {
  if (enabled_)
    line_ = "event=" + std::string(name);
}

Event::~Event() {
  if (enabled_)
    RootLogger().log(ToLog4cplus(level_), line_);
}

void Event::AppendText(std::string_view key, std::string_view value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  if (NeedsQuotes(value))
    line_ += Quote(value);
  else
    line_ += value;
}

}  // namespace dandelionmill::log
