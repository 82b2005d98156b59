// Guards against a process that is ended for want of memory, and against
// ordinary requests that are refused in its place.
#include "dandelionmill/gateway/memory_budget.h"

#include <catch2/catch.hpp>

using dandelionmill::base::MonoTime;
using dandelionmill::gateway::MemoryBudget;
using Use = MemoryBudget::Use;

namespace {

constexpr std::size_t kMb = 1 << 20;

MonoTime At(int ms) {
  return MonoTime() + std::chrono::milliseconds(ms);
}

}  // namespace

TEST_CASE("The memory budget is a share of the machine's memory", "[gateway]") {
  CHECK(MemoryBudget::LimitBytes(160, 40) == 64 * kMb);
  CHECK(MemoryBudget::LimitBytes(512, 80) == 429496729);
  SECTION("and leaves room for the largest request on a small machine") {
    CHECK(MemoryBudget::LimitBytes(10, 10) == MemoryBudget::kMinLimitBytes);
  }
}

TEST_CASE("Nothing is dropped while the memory budget is kept", "[gateway]") {
  MemoryBudget budget(10 * kMb);
  budget.Set(1, Use::kReceiving, 4 * kMb, At(1));
  budget.Set(2, Use::kSending, 6 * kMb, At(1));
  CHECK(budget.bytes() == 10 * kMb);
  CHECK(budget.is_tight());
  CHECK_FALSE(budget.ChooseDrop());
  SECTION("which counts what a connection holds once") {
    budget.Set(1, Use::kOther, kMb, At(2));
    CHECK(budget.bytes() == 7 * kMb);
    CHECK(budget.bytes(Use::kReceiving) == 0);
    budget.Remove(1);
    budget.Remove(1);
    CHECK(budget.bytes() == 6 * kMb);
    CHECK_FALSE(budget.is_tight());
  }
}

TEST_CASE("The newest unfinished request is dropped first", "[gateway]") {
  MemoryBudget budget(10 * kMb);
  budget.Set(1, Use::kReceiving, 4 * kMb, At(3));
  budget.Set(2, Use::kReceiving, 4 * kMb, At(1));
  budget.Set(3, Use::kSending, 4 * kMb, At(0));
  REQUIRE(budget.ChooseDrop());
  CHECK(budget.ChooseDrop()->id == 1);
  CHECK(budget.ChooseDrop()->use == Use::kReceiving);
  SECTION("unless responses hold more than half of the budget") {
    budget.Set(4, Use::kSending, 2 * kMb, At(2));
    CHECK(budget.ChooseDrop()->id == 3);
    CHECK(budget.ChooseDrop()->use == Use::kSending);
  }
  SECTION("then the slowest reader") {
    budget.Set(1, Use::kOther, 4 * kMb, At(3));
    budget.Set(2, Use::kOther, 4 * kMb, At(3));
    CHECK(budget.ChooseDrop()->id == 3);
    budget.Set(3, Use::kSending, 4 * kMb, At(9));
    budget.Set(4, Use::kSending, kMb, At(8));
    CHECK(budget.ChooseDrop()->id == 4);
  }
}

TEST_CASE("Small and running requests are not dropped", "[gateway]") {
  MemoryBudget budget(kMb);
  budget.Set(1, Use::kOther, 2 * kMb, At(0));
  budget.Set(2, Use::kReceiving, MemoryBudget::kMinDropBytes, At(0));
  budget.Set(3, Use::kSending, MemoryBudget::kMinDropBytes, At(0));
  CHECK(budget.is_exceeded());
  CHECK_FALSE(budget.ChooseDrop());
}
