#include <catch2/catch.hpp>
#include <set>

#include "tests/soak/faults.h"

using namespace soak;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_CASE("The same seed yields the same faults in the same order", "[soak]") {
  const auto once = PlanFaults(7, milliseconds(20000), 3);
  const auto again = PlanFaults(7, milliseconds(20000), 3);
  REQUIRE(once.size() == again.size());
  REQUIRE_FALSE(once.empty());
  for (std::size_t i = 0; i < once.size(); ++i) {
    CHECK(once[i].start == again[i].start);
    CHECK(once[i].fault.index() == again[i].fault.index());
  }
}

TEST_CASE("Fifty seeds cover every kind of fault", "[soak]") {
  std::set<std::size_t> kinds;
  for (unsigned seed = 1; seed <= 50; ++seed) {
    for (const PlannedFault& planned : PlanFaults(seed, milliseconds(12000), 3))
      kinds.insert(planned.fault.index());
  }
  CHECK(kinds.size() == std::variant_size_v<Fault>);
}
