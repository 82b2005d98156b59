#include "dandelionmill/scheduling/peer_loads.h"

#include <catch2/catch.hpp>
#include <map>

namespace dandelionmill::scheduling {
namespace {

using std::chrono::milliseconds;

const base::BackendId kBackend("backend-1");

// Applies the changes as the placement does.
struct Sums {
  std::map<base::BackendId, int> in_flight;
  void Apply(const std::vector<PeerLoads::Change>& changes) {
    for (const PeerLoads::Change& change : changes)
      in_flight[change.backend] += change.in_flight;
  }
};

base::MonoTime At(int ms) {
  return base::MonoTime(milliseconds(100000 + ms));
}

TEST_CASE(
    "The requests of all other instances at a backend server are summed") {
  PeerLoads loads;
  Sums sums;
  sums.Apply(loads.OnReport("a/1", 1, {{kBackend, 3, 500}}, At(0)));
  sums.Apply(loads.OnReport("b/1", 1, {{kBackend, 4, 0}}, At(10)));
  CHECK(sums.in_flight[kBackend] == 7);
  sums.Apply(loads.OnReport("a/1", 2, {}, At(20)));
  CHECK(sums.in_flight[kBackend] == 4);
}

// Guards against datagrams that the network repeats or delivers out of order.
TEST_CASE("A repeated or late report changes nothing") {
  PeerLoads loads;
  Sums sums;
  sums.Apply(loads.OnReport("a/1", 2, {{kBackend, 3, 0}}, At(0)));
  sums.Apply(loads.OnReport("a/1", 2, {{kBackend, 3, 0}}, At(1)));
  sums.Apply(loads.OnReport("a/1", 1, {{kBackend, 9, 0}}, At(2)));
  CHECK(sums.in_flight[kBackend] == 3);
}

// Guards against the requests of an instance that was killed counting for good.
TEST_CASE("An instance that falls silent does not count any more") {
  PeerLoads loads;
  Sums sums;
  sums.Apply(loads.OnReport("a/1", 1, {{kBackend, 3, 0}}, At(0)));
  const auto validity = 3 * PeerLoads::kReportInterval;
  sums.Apply(loads.Expire(At(0) + validity - milliseconds(1)));
  CHECK(sums.in_flight[kBackend] == 3);
  sums.Apply(loads.Expire(At(0) + validity));
  CHECK(sums.in_flight[kBackend] == 0);
  CHECK(loads.instance_count() == 0);
}

TEST_CASE("Reports count for longer in a fleet in which they come less often") {
  PeerLoads loads;
  loads.SetInstances(96, 24);
  Sums sums;
  sums.Apply(loads.OnReport("a/1", 1, {{kBackend, 3, 0}}, At(0)));
  sums.Apply(loads.Expire(At(0) + 11 * PeerLoads::kReportInterval));
  CHECK(sums.in_flight[kBackend] == 3);
  sums.Apply(loads.Expire(At(0) + 12 * PeerLoads::kReportInterval));
  CHECK(sums.in_flight[kBackend] == 0);
}

}  // namespace
}  // namespace dandelionmill::scheduling
