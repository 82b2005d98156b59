#include "dandelionmill/backend/sequencer.h"

#include <catch2/catch.hpp>

using dandelionmill::backend::Sequencer;
using dandelionmill::backend::SseEvent;

namespace {

// Adds events with the given numbers and returns the data of the events that
// became ready, each followed by a space.
std::string Add(Sequencer& sequencer,
                const std::vector<std::uint64_t>& numbers) {
  std::vector<SseEvent> ready;
  for (const std::uint64_t number : numbers)
    sequencer.Add({number, std::to_string(number)}, ready);
  std::string text;
  for (const SseEvent& event : ready)
    text += event.data + " ";
  return text;
}

}  // namespace

TEST_CASE("A sequencer delivers each event once and in order", "[backend]") {
  Sequencer sequencer;

  SECTION("events in order are ready immediately") {
    CHECK(Add(sequencer, {1, 2, 3}) == "1 2 3 ");
    CHECK(sequencer.last_sequence() == 3);
    CHECK_FALSE(sequencer.HasGap());
  }

  SECTION("duplicates are dropped") {
    CHECK(Add(sequencer, {1, 1, 2, 1, 2, 3, 3}) == "1 2 3 ");
  }

  SECTION("an early event is buffered until the missing one arrives") {
    CHECK(Add(sequencer, {1, 3, 4}) == "1 ");
    CHECK(sequencer.HasGap());
    CHECK(sequencer.last_sequence() == 1);
    CHECK(Add(sequencer, {2}) == "2 3 4 ");
    CHECK_FALSE(sequencer.HasGap());
  }

  SECTION("an event without a sequence number is taken as the next one") {
    std::vector<SseEvent> ready;
    sequencer.Add({0, "a"}, ready);
    sequencer.Add({2, "b"}, ready);
    sequencer.Add({0, "c"}, ready);
    REQUIRE(ready.size() == 3);
    CHECK(ready[2].sequence == 3);
  }

  SECTION("events beyond the buffer limit are dropped and can be added again") {
    std::vector<std::uint64_t> early;
    for (std::uint64_t i = 2; i < 2 * Sequencer::kMaxBuffered; ++i)
      early.push_back(i);
    CHECK(Add(sequencer, early).empty());
    Add(sequencer, {1});
    CHECK(sequencer.last_sequence() == Sequencer::kMaxBuffered + 1);
    CHECK_FALSE(Add(sequencer, {sequencer.last_sequence() + 1}).empty());
  }
}
