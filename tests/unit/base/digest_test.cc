#include "dandelionmill/base/digest.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>

TEST_CASE("Combined hashes depend on the order and spread evenly", "[base]") {
  using dandelionmill::base::CombineHashes;
  CHECK(CombineHashes(1, 2) != CombineHashes(2, 1));
  // The highest of ten combinations wins about equally often.
  std::array<int, 10> wins{};
  for (std::uint64_t key = 0; key < 10000; ++key) {
    std::size_t winner = 0;
    for (std::size_t other = 1; other < wins.size(); ++other) {
      if (CombineHashes(key, other) > CombineHashes(key, winner))
        winner = other;
    }
    ++wins[winner];
  }
  for (const int count : wins) {
    CHECK(count > 850);
    CHECK(count < 1150);
  }
}
