#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "dandelionmill/routing/cached_blocks.h"
#include "tests/unit/routing/dispatcher_fixture.h"

using namespace routing_test;  // NOLINT(google-build-using-namespace)
using routing::CachedBlocks;

namespace {

routing::Dispatcher AffinityDispatcher(int backends) {
  std::vector<inventory::Backend> specs;
  for (int i = 0; i < backends; ++i)
    specs.push_back(BackendIn("b" + std::to_string(i), "n1", 100));
  inventory::Core core = CoreWith(specs);
  core.rules.routing_policy = inventory::RoutingPolicy::kAffinity;
  routing::Dispatcher dispatcher(base::ZoneId("n1"), 1);
  dispatcher.OnConfig(SnapshotOf(core), At(milliseconds(0)));
  return dispatcher;
}

}  // namespace

TEST_CASE(
    "Sent or stored blocks count as cached until evicted or events are lost",
    "[routing]") {
  CachedBlocks cache;
  cache.OnSent({"a", "ab"});
  CHECK(cache.CountLeading({"a", "ab", "abc"}) == 2);
  cache.OnEvents({{1, true, "x"}, {2, true, "xy"}});
  CHECK(cache.CountLeading({"x", "xy"}) == 2);

  SECTION("an eviction removes the block") {
    cache.OnEvents({{3, false, "x"}});
    CHECK(cache.CountLeading({"x", "xy"}) == 0);
    CHECK(cache.CountLeading({"a", "ab"}) == 2);
  }
  SECTION("a repeated event number is ignored") {
    cache.OnEvents({{2, false, "x"}});
    CHECK(cache.CountLeading({"x", "xy"}) == 2);
  }
  SECTION("a gap in the event numbers clears the blocks") {
    cache.OnEvents({{4, true, "z"}});
    CHECK(cache.CountLeading({"a"}) == 0);
    CHECK(cache.CountLeading({"x"}) == 0);
    CHECK(cache.CountLeading({"z"}) == 1);
  }
  SECTION("a restart of the engine clears the blocks") {
    cache.OnEvents({{1, true, "n"}});
    CHECK(cache.CountLeading({"x"}) == 0);
    CHECK(cache.CountLeading({"n"}) == 1);
  }
}

TEST_CASE("A conversation is sent to the engine that has cached its prefix",
          "[routing]") {
  routing::Dispatcher dispatcher = AffinityDispatcher(10);
  routing::Request first = RequestOf(1);
  first.prefix_blocks = {"system", "question"};
  const std::string home =
      DispatchedTo(dispatcher.Submit(first, At(milliseconds(1))));
  dispatcher.OnAttemptEnded(1, routing::AttemptResult::kCompleted, true,
                            At(seconds(1)));
  routing::Request second = RequestOf(2);
  second.prefix_blocks = {"system", "question", "answer"};
  CHECK(DispatchedTo(dispatcher.Submit(second, At(seconds(2)))) == home);
}

TEST_CASE("Requests with the same prefix are spread within the load bound",
          "[routing]") {
  routing::Dispatcher dispatcher = AffinityDispatcher(10);
  std::map<std::string, int> running;
  for (routing::RequestNumber number = 1; number <= 200; ++number) {
    routing::Request request = RequestOf(number);
    request.prefix_blocks = {"hot"};
    ++running[DispatchedTo(dispatcher.Submit(request, At(milliseconds(1))))];
  }
  int highest = 0;
  for (const auto& [backend, count] : running)
    highest = std::max(highest, count);
  CHECK(highest <= 25);
}
