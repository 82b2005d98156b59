#include "dandelionmill/log/internal/bounded_appender.h"

#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

using dandelionmill::log::internal::BoundedAppender;

namespace {

// log4cplus cannot be initialized twice in one process.
void InitializeLog4cplus() {
  static const log4cplus::Initializer initializer;
}

// A pipe that is read only by ReadAll.
struct Pipe {
  Pipe() { REQUIRE(::pipe(ends.data()) == 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  std::string ReadAll() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 4096> buffer;
    for (;;) {
      const ssize_t count = ::read(ends[0], buffer.data(), buffer.size());
      if (count <= 0)
        return all;
      all.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }

  std::array<int, 2> ends{};
};

log4cplus::helpers::SharedObjectPtr<BoundedAppender> MakeAppender(
    const Pipe& pipe,
    int lines_per_s) {
  log4cplus::helpers::SharedObjectPtr<BoundedAppender> appender(
      new BoundedAppender(pipe.ends[1], lines_per_s));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  return appender;
}

void Write(BoundedAppender& appender,
           const std::string& line,
           log4cplus::LogLevel level = log4cplus::INFO_LOG_LEVEL) {
  const log4cplus::spi::InternalLoggingEvent event("root", level, line,
                                                   __FILE__, __LINE__);
  appender.doAppend(event);
}

}  // namespace

TEST_CASE("A full pipe does not block the writer", "[log]") {
  InitializeLog4cplus();
  Pipe pipe;
  auto appender = MakeAppender(pipe, 1000000);
  const std::string line(200, 'x');
  for (int i = 0; i < 5000; ++i)
    Write(*appender, line);
  CHECK(appender->dropped_lines() > 1000);
  SECTION("the next line reports the number of dropped lines") {
    const std::string full_line = line + "\n";
    std::string text = pipe.ReadAll();
    CHECK(text.size() % full_line.size() == 0);
    Write(*appender, "next");
    text = pipe.ReadAll();
    CHECK(text == "next lines_left_out=" +
                      std::to_string(appender->dropped_lines()) + "\n");
  }
}

TEST_CASE("Info lines over the rate limit are dropped before warnings",
          "[log]") {
  InitializeLog4cplus();
  Pipe pipe;
  auto appender = MakeAppender(pipe, 10);
  for (int i = 0; i < 100; ++i)
    Write(*appender, "info");
  CHECK(appender->dropped_lines() >= 85);
  const auto dropped_before = appender->dropped_lines();
  Write(*appender, "warning", log4cplus::WARN_LOG_LEVEL);
  CHECK(appender->dropped_lines() == dropped_before);
  CHECK_THAT(pipe.ReadAll(), Catch::Contains("warning lines_left_out="));
}
