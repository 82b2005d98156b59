#include "dandelionmill/log/event.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <iostream>
#include <limits>
#include <sstream>

using dandelionmill::log::Event;
using dandelionmill::log::Initialize;
using dandelionmill::log::Level;
using dandelionmill::log::ParseLevel;

namespace {

// Redirects std::cerr to a string for the lifetime of the object.
class StderrCapture {
 public:
  StderrCapture() : previous_(std::cerr.rdbuf(text_.rdbuf())) {}
  ~StderrCapture() { std::cerr.rdbuf(previous_); }
  std::string text() const { return text_.str(); }

 private:
  std::ostringstream text_;
  std::streambuf* previous_;
};

}  // namespace

TEST_CASE("An event is logged as one line of key=value pairs", "[log]") {
  const StderrCapture captured;
  Initialize("test", Level::kInfo);

  SECTION("only values with special characters are quoted and escaped") {
    Event(Level::kInfo, "lease_drawn")
        .With("tokens", 500)
        .With("budget", "a/b")
        .With("detail", "two words\nand \"quotes\"");
    CHECK(
        captured.text().find("level=INFO process=test event=lease_drawn "
                             "tokens=500 budget=a/b "
                             "detail=\"two words\\x0aand \\\"quotes\\\"\"\n") !=
        std::string::npos);
  }
  SECTION("values of any type are written") {
    Event(Level::kInfo, "types")
        .With("yes", true)
        .With("negative", -7)
        .With("largest", std::numeric_limits<std::uint64_t>::max())
        .With("share", 0.25)
        .With("character", 'c')
        .With("backend", dandelionmill::base::BackendId("b-1"))
        .With("wait_ms", std::chrono::milliseconds(1500))
        .With("empty", "");
    CHECK(captured.text().find(
              "event=types yes=1 negative=-7 largest=18446744073709551615 "
              "share=0.25 character=c backend=b-1 wait_ms=1500 empty=\"\"\n") !=
          std::string::npos);
  }
  SECTION("events below the configured level are not logged") {
    Event(Level::kDebug, "detail").With("tokens", 1);
    CHECK(captured.text().empty());
  }
}

TEST_CASE("ParseLevel accepts level names and rejects other text", "[log]") {
  CHECK(std::get<Level>(ParseLevel("warning")) == Level::kWarning);
  CHECK_FALSE(dandelionmill::base::IsOk(ParseLevel("loud")));
}
