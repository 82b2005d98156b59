#include "dandelionmill/backend/sse_parser.h"

#include <catch2/catch.hpp>

using dandelionmill::backend::SseEvent;
using dandelionmill::backend::SseParser;

TEST_CASE("SseParser parses server-sent events", "[backend]") {
  SseParser parser;
  std::vector<SseEvent> events;

  SECTION("an event has a sequence number and data") {
    CHECK(parser.Feed("id: 7\ndata: {\"a\":1}\n\n", events));
    REQUIRE(events.size() == 1);
    CHECK(events[0].sequence == 7);
    CHECK(events[0].data == "{\"a\":1}");
  }

  SECTION("the input may be split anywhere, including inside a CRLF") {
    const std::string text = "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n";
    for (const char byte : text)
      CHECK(parser.Feed({&byte, 1}, events));
    REQUIRE(events.size() == 2);
    CHECK(events[0].data == "x");
    CHECK(events[1].sequence == 2);
    CHECK(events[1].data == "y");
  }

  SECTION("several data lines are joined") {
    parser.Feed("data: a\ndata:b\ndata\n\n", events);
    REQUIRE(events.size() == 1);
    CHECK(events[0].data == "a\nb\n");
    CHECK(events[0].sequence == 0);
  }

  SECTION("comments, other fields and events without data are ignored") {
    parser.Feed(": ping\n\nevent: x\nretry: 5\n\nid: 3\n\ndata: z\n\n", events);
    REQUIRE(events.size() == 1);
    CHECK(events[0].data == "z");
    CHECK(events[0].sequence == 0);
  }

  SECTION("an id that is not a number yields sequence 0") {
    parser.Feed("id: 12x\ndata: a\n\nid: -1\ndata: b\n\n", events);
    REQUIRE(events.size() == 2);
    CHECK(events[0].sequence == 0);
    CHECK(events[1].sequence == 0);
  }

  SECTION("an incomplete event is not returned") {
    parser.Feed("id: 1\ndata: half\n", events);
    CHECK(events.empty());
  }

  SECTION("an event over the size limit is rejected") {
    const std::string oversized(SseParser::kMaxEventBytes + 1, 'x');
    CHECK_FALSE(parser.Feed("data: " + oversized, events));
  }
}
