#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "dandelionmill/backend/sequencer.h"
#include "dandelionmill/backend/sse_parser.h"

using dandelionmill::backend::Sequencer;
using dandelionmill::backend::SseEvent;
using dandelionmill::backend::SseParser;

namespace {

std::string ToText(const SseEvent& event) {
  return "id: " + std::to_string(event.sequence) + "\ndata: " + event.data +
         "\n\n";
}

std::vector<SseEvent> MakeStream(std::size_t count) {
  std::vector<SseEvent> stream;
  for (std::size_t i = 1; i <= count; ++i)
    stream.push_back({i, "token " + std::to_string(i * 7919 % 1000)});
  return stream;
}

// Returns the bytes that one faulty connection delivers of `stream`: the events
// after number `from`, with some lost, duplicated, repeated or swapped with
// their neighbor, truncated at a random byte.
std::string SimulateFaultyConnection(const std::vector<SseEvent>& stream,
                                     std::uint64_t from,
                                     std::mt19937_64& random) {
  std::vector<SseEvent> sent;
  for (std::size_t i = from; i < stream.size(); ++i) {
    const auto fault = random() % 10;
    if (fault == 0)
      continue;
    sent.push_back(stream[i]);
    if (fault == 1)
      sent.push_back(stream[i]);
    if (fault == 2 && sent.size() > 1)
      std::swap(sent[sent.size() - 1], sent[sent.size() - 2]);
    if (fault == 3 && i > 0)
      sent.push_back(stream[random() % i]);
  }
  std::string text;
  for (const SseEvent& event : sent)
    text += ToText(event);
  return text.substr(0, random() % (text.size() + 1));
}

// Returns `text` with every line end (CR, LF or CRLF) replaced by LF.
std::string NormalizeLineEnds(const std::string& text) {
  std::string normalized;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\r' && i + 1 < text.size() && text[i + 1] == '\n')
      continue;
    normalized += text[i] == '\r' ? '\n' : text[i];
  }
  return normalized;
}

}  // namespace

TEST_CASE("A stream is restored exactly despite faulty connections",
          "[property]") {
  CHECK(rc::check(
      "truncated, lost, duplicated and reordered events, with resumes after "
      "the last event in order",
      [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const std::vector<SseEvent> stream = MakeStream(random() % 60);
        Sequencer sequencer;
        std::vector<SseEvent> out;
        while (sequencer.last_sequence() < stream.size()) {
          SseParser parser;
          const std::string bytes = SimulateFaultyConnection(
              stream, sequencer.last_sequence(), random);
          std::size_t at = 0;
          while (at < bytes.size()) {
            const std::size_t size =
                std::min<std::size_t>(1 + random() % 40, bytes.size() - at);
            std::vector<SseEvent> events;
            RC_ASSERT(parser.Feed({bytes.data() + at, size}, events));
            for (SseEvent& event : events)
              sequencer.Add(std::move(event), out);
            at += size;
          }
        }
        RC_ASSERT(out.size() == stream.size());
        for (std::size_t i = 0; i < out.size(); ++i) {
          RC_ASSERT(out[i].sequence == stream[i].sequence);
          RC_ASSERT(out[i].data == stream[i].data);
        }
      }));
}

TEST_CASE("Events do not depend on input splits or the kind of line end",
          "[property]") {
  CHECK(rc::check("any bytes", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::vector<std::string> fragments = {
        "data: x", "data:", "data", "id: 7", "id:",      ": comment",
        "\n",      "\r\n",  "\r",   "\n\n",  "\r\n\r\n", "5"};
    std::string bytes;
    for (std::size_t i = random() % 40; i > 0; --i)
      bytes += fragments[random() % fragments.size()];
    SseParser whole;
    std::vector<SseEvent> expected;
    whole.Feed(NormalizeLineEnds(bytes), expected);
    SseParser bytewise;
    std::vector<SseEvent> events;
    for (const char byte : bytes)
      bytewise.Feed({&byte, 1}, events);
    RC_ASSERT(events.size() == expected.size());
    for (std::size_t i = 0; i < events.size(); ++i) {
      RC_ASSERT(events[i].sequence == expected[i].sequence);
      RC_ASSERT(events[i].data == expected[i].data);
    }
  }));
}
