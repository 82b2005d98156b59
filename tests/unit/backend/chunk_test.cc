#include "dandelionmill/backend/chunk.h"

#include <catch2/catch.hpp>

using dandelionmill::backend::ReadChunk;
using dandelionmill::backend::ReadChunkText;

TEST_CASE("ReadChunk returns the token usage of a chunk", "[backend]") {
  SECTION("the first event has the prompt tokens") {
    const auto info = ReadChunk(R"({"object":"usage","prompt_tokens":42})");
    REQUIRE(info.usage);
    CHECK(info.usage->prompt == 42);
    CHECK(info.usage_only);
    CHECK(info.tokens == 0);
  }

  SECTION("a text chunk has its completion tokens") {
    const auto info = ReadChunk(
        R"({"choices":[{"delta":{"content":"x"},"finish_reason":null}],"tokens":3})");
    CHECK(info.tokens == 3);
    CHECK_FALSE(info.usage);
    CHECK_FALSE(info.usage_only);
  }

  SECTION("text that looks like a key is ignored") {
    const auto info = ReadChunk(
        R"({"choices":[{"delta":{"content":"\"tokens\":99 \"usage\":{}"}}],"tokens":1})");
    CHECK(info.tokens == 1);
    CHECK_FALSE(info.usage);
  }

  SECTION("the last chunk has the totals") {
    const auto info = ReadChunk(
        R"({"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":9}})");
    REQUIRE(info.usage);
    CHECK(info.usage->prompt == 5);
    CHECK(info.usage->completion == 9);
    CHECK_FALSE(info.usage_only);
  }

  SECTION("only the bare end marker ends the stream") {
    CHECK(ReadChunk("[DONE]").done);
    CHECK_FALSE(ReadChunk("\"[DONE]\"").done);
  }

  SECTION("malformed data yields zero tokens and no usage") {
    CHECK(ReadChunk("").tokens == 0);
    CHECK(ReadChunk("{\"tokens\":").tokens == 0);
    CHECK_FALSE(ReadChunk("{\"usage\":[").usage);
    CHECK_FALSE(ReadChunk("{\"usage\":7}").usage);
  }
}

TEST_CASE("ReadChunkText reads chat and text completion chunks", "[backend]") {
  CHECK(ReadChunkText(R"({"choices":[{"delta":{"content":"a"}}]})").text ==
        "a");
  CHECK(ReadChunkText(R"({"choices":[{"text":"b","finish_reason":"stop"}]})")
            .finish_reason == "stop");
  CHECK(ReadChunkText(R"({"choices":[{"delta":{"content":null}}]})")
            .text.empty());
  CHECK(ReadChunkText(R"({"choices":[7]})").text.empty());
  CHECK(ReadChunkText("[").text.empty());
}
