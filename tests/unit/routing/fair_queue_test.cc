#include "dandelionmill/routing/fair_queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using dandelionmill::base::AccountId;
using dandelionmill::routing::FairQueue;
using dandelionmill::routing::QueueItem;
using dandelionmill::routing::RequestNumber;

namespace {

QueueItem Item(RequestNumber number,
               const std::string& account,
               int weight = 1,
               int priority = 5) {
  return {number, AccountId(account), weight, priority, 10};
}

bool Any(RequestNumber) {
  return true;
}

}  // namespace

TEST_CASE("Accounts share the queue by weight", "[routing]") {
  FairQueue queue(100);
  for (RequestNumber number = 0; number < 30; ++number)
    queue.Push(Item(number, "single"));
  for (RequestNumber number = 30; number < 60; ++number)
    queue.Push(Item(number, "double", 2));
  std::map<bool, int> taken;
  for (int i = 0; i < 15; ++i)
    ++taken[*queue.Take(Any) >= 30];
  CHECK(taken[true] == 10);
  CHECK(taken[false] == 5);
}

TEST_CASE("An idle account accumulates no credit", "[routing]") {
  FairQueue queue(100);
  for (RequestNumber number = 0; number < 50; ++number)
    queue.Push(Item(number, "steady"));
  for (int i = 0; i < 20; ++i)
    queue.Take(Any);
  for (RequestNumber number = 50; number < 60; ++number)
    queue.Push(Item(number, "late"));
  int late = 0;
  for (int i = 0; i < 10; ++i)
    late += *queue.Take(Any) >= 50 ? 1 : 0;
  // Start-time fair queueing deviates from the fair share by at most one
  // request.
  CHECK(late >= 5);
  CHECK(late <= 6);
}

TEST_CASE("Priority orders the requests of one account", "[routing]") {
  FairQueue queue(2);
  queue.Push(Item(1, "a", 1, 5));
  queue.Push(Item(2, "a", 1, 0));
  SECTION("requests of higher priority are served first") {
    CHECK(queue.Take(Any) == RequestNumber{2});
  }
  SECTION("requests of lower priority are dropped first") {
    CHECK(queue.Push(Item(3, "a", 1, 1)) == RequestNumber{1});
    CHECK(queue.Push(Item(4, "a", 1, 9)) == RequestNumber{4});
  }
  SECTION("requests that are not accepted are skipped") {
    CHECK(queue.Take([](RequestNumber number) { return number != 2; }) ==
          RequestNumber{1});
  }
}

TEST_CASE("CountAhead counts requests by fair share", "[routing]") {
  FairQueue queue(100);
  for (RequestNumber number = 0; number < 20; ++number)
    queue.Push(Item(number, "heavy"));
  CHECK(queue.CountAhead(AccountId("heavy"), 1, 5) == 20);
  CHECK(queue.CountAhead(AccountId("light"), 1, 5) == 1);
}
