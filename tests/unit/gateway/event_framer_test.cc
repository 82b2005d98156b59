#include "dandelionmill/gateway/event_framer.h"

#include <catch2/catch.hpp>

using dandelionmill::gateway::EventFramer;
using dandelionmill::gateway::FramedEvent;

TEST_CASE("Complete events are returned unchanged for any split of the input",
          "[gateway]") {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventFramer framer;
    std::vector<FramedEvent> events;
    REQUIRE(framer.Feed(stream.substr(0, cut), events));
    REQUIRE(framer.Feed(stream.substr(cut), events));
    REQUIRE(events.size() == 2);
    CHECK(events[0].bytes + events[1].bytes == stream);
    CHECK(events[0].id == "1");
    CHECK(events[1].id == "2");
    CHECK(framer.unfinished_bytes() == 0);
  }
}

TEST_CASE("An incomplete event is not returned", "[gateway]") {
  EventFramer framer;
  std::vector<FramedEvent> events;
  REQUIRE(framer.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n", events));
  CHECK(events.size() == 1);
  CHECK(framer.unfinished_bytes() > 0);
}

TEST_CASE("An event above the maximum size is refused", "[gateway]") {
  EventFramer framer;
  std::vector<FramedEvent> events;
  CHECK_FALSE(
      framer.Feed(std::string(EventFramer::kMaxEventBytes + 1, 'x'), events));
}
