#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "dandelionmill/base/digest.h"
#include "standins/backend/engine.h"

using dandelionmill::base::IsOk;
using dandelionmill::base::MonoTime;
using dandelionmill::base::ValueOf;
using standins::backend::AnswerText;
using standins::backend::Attempt;
using standins::backend::BlockCache;
using standins::backend::Engine;
using standins::backend::ParseModelCall;
using standins::backend::PrefixBlocks;
using standins::backend::RecordLog;
using standins::backend::RunState;
using std::chrono::milliseconds;

namespace {

Attempt::Call Call(const std::string& id, int tokens, int priority = 5) {
  Attempt::Call call;
  call.record.attempt = id;
  call.record.account = "pigments";
  call.record.request_key = "key-" + id;
  const auto parsed = ParseModelCall(
      R"({"model":"m","prompt":"shade","max_tokens":100,"x_tokens":)" +
      std::to_string(tokens) + "}");
  call.model_call = ValueOf(parsed);
  call.record.prompt_tokens = call.model_call.prompt_tokens;
  call.priority = priority;
  return call;
}

}  // namespace

TEST_CASE("The answer to a model call is determined by the request body") {
  const std::string body =
      R"({"model":"m","max_tokens":3,"messages":[)"
      R"({"role":"system","content":"ab"},{"role":"user","content":"cde"}]})";
  const auto call = ValueOf(ParseModelCall(body));
  CHECK(call.prompt == "abcde");
  CHECK(call.prompt_tokens == 6);
  CHECK(call.output_tokens == 3);
  CHECK(call.hash == dandelionmill::base::StableHash("abcde"));
  CHECK(AnswerText(call) == AnswerText(ValueOf(ParseModelCall(body))));

  SECTION("a body that is not a valid model call is rejected") {
    CHECK_FALSE(IsOk(ParseModelCall("{}")));
    CHECK_FALSE(IsOk(ParseModelCall("[1,")));
  }
}

TEST_CASE("Prompts with a common prefix share the blocks of the prefix") {
  const std::string common(512, 'x');
  const auto one = PrefixBlocks(common + std::string(300, 'a'));
  const auto other = PrefixBlocks(common + std::string(300, 'b'));
  REQUIRE(one.size() == 3);
  CHECK(one[1] == other[1]);
  CHECK(one[2] != other[2]);
}

TEST_CASE("The prefix cache evicts the least recently used block") {
  const MonoTime start{};
  BlockCache cache({2, milliseconds(10), 0, 1});
  CHECK(cache.Use({"a", "b"}, start) == 0);
  CHECK(cache.Use({"a", "c"}, start) == 1);
  CHECK(cache.Use({"a", "b"}, start) == 1);

  SECTION("events are published after the lag and in order") {
    CHECK(cache.Events(0, 100, start + milliseconds(9)).empty());
    const auto events = cache.Events(0, 100, start + milliseconds(10));
    REQUIRE(events.size() == 6);
    CHECK(events[2].block == "b");
    CHECK_FALSE(events[2].stored);
  }
}

TEST_CASE(
    "The engine gives a free slot to the waiting attempt with the highest "
    "priority") {
  const MonoTime start{};
  RecordLog records("");
  int crashes = 0;
  Engine::Options options;
  options.slots = 1;
  options.prefill_per_token = std::chrono::microseconds(0);
  Engine engine(options, records, [&crashes] { ++crashes; });
  const auto first = engine.Submit(Call("one", 2), start);
  const auto low = engine.Submit(Call("low", 1, 9), start);
  const auto high = engine.Submit(Call("high", 1, 0), start);
  CHECK(engine.CurrentLoad().running == 1);
  CHECK(engine.CurrentLoad().waiting == 2);

  engine.Step(start);
  CHECK(first->tokens() == 1);
  engine.Step(start);
  CHECK(first->state() == RunState::kCompleted);
  CHECK(high->state() == RunState::kRunning);
  CHECK(low->state() == RunState::kWaiting);

  SECTION("each event of a completed attempt can be read again") {
    CHECK(first->WaitForEvents(0, milliseconds(0)) == first->TotalEvents());
    CHECK(first->EventText(1) ==
          "id: 1\ndata: {\"object\":\"usage\",\"prompt_tokens\":6}\n\n");
    CHECK(first->EventText(3).find("\"finish_reason\":\"stop\"") !=
          std::string::npos);
    CHECK(first->EventText(4) == "id: 4\ndata: [DONE]\n\n");
  }
  SECTION("a cancelled attempt frees its slot and remains in the records") {
    engine.Cancel("high");
    engine.Step(start);
    CHECK(low->state() == RunState::kRunning);
    CHECK(records.All()[1].state == "cancelled");
  }
  SECTION("a finished attempt is removed after its retention time") {
    engine.Step(start + milliseconds(1));
    engine.Step(start + options.finished_retention + milliseconds(2));
    CHECK(engine.Find("one") == nullptr);
  }
  SECTION(
      "a call marked to crash crashes the engine, and the crash is recorded") {
    Attempt::Call marked = Call("bad", 5, 0);
    marked.crashes = true;
    engine.Submit(std::move(marked), start);
    engine.Step(start);
    engine.Step(start);
    CHECK(crashes == 1);
    CHECK(records.crashes() == 1);
  }
}

TEST_CASE("A prompt with cached blocks produces its first token sooner") {
  const MonoTime start{};
  RecordLog records("");
  Engine::Options options;
  options.prefill_per_token = milliseconds(1);
  Engine engine(options, records, [] {});
  Attempt::Call call = Call("cold", 1);
  call.model_call.prompt = std::string(1024, 'x');
  call.model_call.prompt_tokens = 260;
  const auto cold = engine.Submit(call, start);
  engine.Step(start + milliseconds(100));
  CHECK(cold->tokens() == 0);
  call.record.attempt = "warm";
  const auto warm = engine.Submit(call, start + milliseconds(100));
  engine.Step(start + milliseconds(104));
  CHECK(warm->tokens() == 1);
  CHECK(cold->tokens() == 0);
}
