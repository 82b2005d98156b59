#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "dandelionmill/base/result.h"
#include "standins/platform/lagging_list.h"
#include "standins/platform/memory_objects.h"
#include "standins/platform/memory_table.h"
#include "standins/platform/token_bucket.h"

using dandelionmill::base::Code;
using dandelionmill::base::ErrorOf;
using dandelionmill::base::IsOk;
using dandelionmill::base::MonoTime;
using dandelionmill::base::ValueOf;
using standins::platform::CommandFault;
using standins::platform::FaultPlan;
using standins::platform::LaggingList;
using standins::platform::MemoryObjects;
using standins::platform::MemoryTable;
using standins::platform::TokenBucket;
using std::chrono::milliseconds;

TEST_CASE("The table commits all writes of a transaction or none") {
  MemoryTable table;
  REQUIRE(IsOk(table.Commit({{{"a", 0, "1"}, {"b", 0, "2"}}})));

  SECTION("a stale version conflicts and the error contains the current row") {
    const auto status = table.Commit({{{"a", 1, "x"}, {"b", 7, "x"}}});
    REQUIRE_FALSE(IsOk(status));
    CHECK(ErrorOf(status).code == Code::kStoreConflict);
    CHECK(ErrorOf(status).detail.find(R"("key":"b","value":"2","version":1)") !=
          std::string::npos);
    CHECK(ValueOf(table.Read("a")).value == "1");
  }
  SECTION("a write increments the version and a check does not") {
    REQUIRE(IsOk(table.Commit({{{"a", 1, "3"}, {"b", 1, ""}}})));
    CHECK(ValueOf(table.Read("a")).version == 2);
    CHECK(ValueOf(table.Read("b")).version == 1);
    CHECK(ValueOf(table.Read("b")).value == "2");
  }
  SECTION("an erased row reads as version 0") {
    REQUIRE(IsOk(table.Commit({{{"a", 1, "", true}}})));
    CHECK(ValueOf(table.Read("a")).version == 0);
  }
}

TEST_CASE("The table returns the rows of a prefix in pages") {
  MemoryTable table;
  for (const char* key : {"p/1", "p/2", "p/3", "q/1", "a"})
    REQUIRE(IsOk(table.Commit({{{key, 0, "v"}}})));
  const auto first = ValueOf(table.Scan("p/", "", 2));
  REQUIRE(first.size() == 2);
  CHECK(first[0].key == "p/1");
  const auto second = ValueOf(table.Scan("p/", first[1].key, 2));
  REQUIRE(second.size() == 1);
  CHECK(second[0].key == "p/3");
}

TEST_CASE("A fault plan determines the fault of each command") {
  auto faults = std::make_shared<FaultPlan>(1);
  MemoryTable table(faults);

  SECTION("the write is applied when its answer is lost") {
    faults->Schedule({CommandFault::kLoseAnswer});
    const auto status = table.Commit({{{"a", 0, "1"}}});
    REQUIRE_FALSE(IsOk(status));
    CHECK(ErrorOf(status).code == Code::kStoreOutcomeUnknown);
    CHECK(ValueOf(table.Read("a")).value == "1");
  }
  SECTION(
      "nothing is written when the request is lost, and the error is the "
      "same") {
    faults->Schedule({CommandFault::kLoseRequest});
    const auto status = table.Commit({{{"a", 0, "1"}}});
    CHECK(ErrorOf(status).code == Code::kStoreOutcomeUnknown);
    CHECK(ValueOf(table.Read("a")).version == 0);
  }
  SECTION("a store that is down refuses all calls until it is up again") {
    faults->SetDown(true);
    CHECK(ErrorOf(table.Commit({{{"a", 0, "1"}}})).code ==
          Code::kStoreUnavailable);
    CHECK(ErrorOf(table.Read("a")).code == Code::kStoreUnavailable);
    faults->SetDown(false);
    CHECK(IsOk(table.Commit({{{"a", 0, "1"}}})));
  }
  SECTION("the same seed loses the same answers") {
    FaultPlan one(7);
    FaultPlan other(7);
    one.SetLoseAnswersPercent(30);
    other.SetLoseAnswersPercent(30);
    int lost = 0;
    for (int i = 0; i < 1000; ++i) {
      const CommandFault fault = one.NextCommandFault();
      REQUIRE(fault == other.NextCommandFault());
      lost += fault == CommandFault::kLoseAnswer ? 1 : 0;
    }
    CHECK(lost > 200);
    CHECK(lost < 400);
  }
}

TEST_CASE("The object store returns the content that was put last") {
  auto faults = std::make_shared<FaultPlan>(1);
  MemoryObjects objects(faults);
  faults->Schedule({CommandFault::kLoseAnswer});
  CHECK(ErrorOf(objects.Put("c/1", "x")).code == Code::kStoreOutcomeUnknown);
  REQUIRE(IsOk(objects.Put("c/1", "x")));
  REQUIRE(IsOk(objects.Put("c/2", "y")));
  CHECK(ValueOf(objects.Get("c/1")) == "x");
  CHECK(ErrorOf(objects.Get("d")).code == Code::kNotFound);
  CHECK(ValueOf(objects.List("c/", "c/1", 10)) ==
        std::vector<std::string>{"c/2"});
}

TEST_CASE("Instance list changes become visible after the lag") {
  LaggingList list(milliseconds(100));
  const MonoTime start{};
  list.Put({"e1", "entry", "z", "r", "127.0.0.1:1", false}, start);
  CHECK(list.Visible(start + milliseconds(99)).empty());
  CHECK(list.Visible(start + milliseconds(100)).size() == 1);
  list.Erase("e1", start + milliseconds(200));
  CHECK(list.Visible(start + milliseconds(299)).size() == 1);
  CHECK(list.Visible(start + milliseconds(300)).empty());
}

TEST_CASE(
    "A token bucket allows a burst of one second's units and then its rate") {
  const MonoTime start{};
  TokenBucket bucket(10, start);
  int taken = 0;
  while (bucket.Take(1, start))
    ++taken;
  CHECK(taken == 10);
  CHECK_FALSE(bucket.Take(1, start + milliseconds(50)));
  CHECK(bucket.Take(1, start + milliseconds(150)));
}
