#include "dandelionmill/backend/chunk.h"

#include <catch2/catch.hpp>

using dandelionmill::backend::ParseChunk;
using dandelionmill::backend::ParseChunkText;

TEST_CASE("ParseChunk returns the token usage of a chunk", "[backend]") {
  SECTION("the first event has the prompt tokens") {
    const auto info = ParseChunk(R"({"object":"usage","prompt_tokens":42})");
    REQUIRE(info.usage);
    CHECK(info.usage->prompt == 42);
    CHECK(info.usage_only);
    CHECK(info.tokens == 0);
  }

  SECTION("a text chunk has its completion tokens") {
    const auto info = ParseChunk(
        R"({"choices":[{"delta":{"content":"x"},"finish_reason":null}],"tokens":3})");
    CHECK(info.tokens == 3);
    CHECK_FALSE(info.usage);
    CHECK_FALSE(info.usage_only);
  }

  SECTION("text that looks like a key is ignored") {
    const auto info = ParseChunk(
        R"({"choices":[{"delta":{"content":"\"tokens\":99 \"usage\":{}"}}],"tokens":1})");
    CHECK(info.tokens == 1);
    CHECK_FALSE(info.usage);
  }

  SECTION("the last chunk has the totals") {
    const auto info = ParseChunk(
        R"({"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":9}})");
    REQUIRE(info.usage);
    CHECK(info.usage->prompt == 5);
    CHECK(info.usage->completion == 9);
    CHECK_FALSE(info.usage_only);
  }

  SECTION("only the bare end marker ends the stream") {
    CHECK(ParseChunk("[DONE]").done);
    CHECK_FALSE(ParseChunk("\"[DONE]\"").done);
  }

  SECTION("malformed data yields zero tokens and no usage") {
    CHECK(ParseChunk("").tokens == 0);
    CHECK(ParseChunk("{\"tokens\":").tokens == 0);
    CHECK_FALSE(ParseChunk("{\"usage\":[").usage);
    CHECK_FALSE(ParseChunk("{\"usage\":7}").usage);
  }
}

TEST_CASE("ParseChunkText reads chat and text completion chunks", "[backend]") {
  CHECK(ParseChunkText(R"({"choices":[{"delta":{"content":"a"}}]})").text ==
        "a");
  CHECK(ParseChunkText(R"({"choices":[{"text":"b","finish_reason":"stop"}]})")
            .finish_reason == "stop");
  CHECK(ParseChunkText(R"({"choices":[{"delta":{"content":null}}]})")
            .text.empty());
  CHECK(ParseChunkText(R"({"choices":[7]})").text.empty());
  CHECK(ParseChunkText("[").text.empty());
}
