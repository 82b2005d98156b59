#include "dandelionmill/membership/gossip.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>

namespace base = dandelionmill::base;
namespace net = dandelionmill::net;
namespace storage = dandelionmill::storage;
using dandelionmill::membership::Gossip;
using dandelionmill::membership::Member;
using dandelionmill::membership::Rumor;

namespace {

constexpr int kZones = 4;

// Simulates controls that ping each other without delay. Those in
// `disconnected` neither send nor receive; a ping to one is lost.
class Fleet {
 public:
  explicit Fleet(int size) {
    std::vector<storage::ListedInstance> list;
    for (int i = 0; i < size; ++i) {
      Start(i, 1);
      list.push_back(
          {Name(i), "entry", "", "", net::ToString(AddressOf(i)), false});
    }
    for (const auto& node : nodes_)
      node->OnInstanceList(list, now_);
  }

  void Start(int i, std::uint64_t sequence) {
    Rumor self;
    self.member.instance = base::InstanceId(Name(i));
    self.member.holder =
        base::HolderId(Name(i) + "/" + std::to_string(sequence));
    self.member.zone = base::ZoneId("zone-" + std::to_string(i % kZones));
    self.member.address = AddressOf(i);
    self.sequence = sequence;
    const auto index = static_cast<std::size_t>(i);
    nodes_.resize(std::max(nodes_.size(), index + 1));
    nodes_[index] = std::make_unique<Gossip>(Gossip::Options(), self, i);
  }

  void Run(int periods) {
    for (int period = 0; period < periods; ++period) {
      now_ += Gossip::Options().period;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (disconnected.count(static_cast<int>(i)) == 0)
          Tick(static_cast<int>(i));
      }
    }
  }

  // Returns the minimum and maximum, over the connected controls, of the number
  // of members that a control considers reachable, including itself.
  std::pair<int, int> ReachableCounts() const {
    int minimum = static_cast<int>(nodes_.size());
    int maximum = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (disconnected.count(static_cast<int>(i)) != 0)
        continue;
      const std::vector<Member> members = nodes_[i]->Members();
      const int count = static_cast<int>(
          std::count_if(members.begin(), members.end(),
                        [](const Member& m) { return m.reachable; }));
      minimum = std::min(minimum, count);
      maximum = std::max(maximum, count);
    }
    return {minimum, maximum};
  }

  // Returns whether `predicate` holds for member `i` in the view of every
  // connected control except `i` itself.
  template <class Predicate>
  bool AllViewsMatch(int i, Predicate predicate) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (disconnected.count(static_cast<int>(n)) != 0 ||
          static_cast<int>(n) == i)
        continue;
      const std::vector<Member> members = nodes_[n]->Members();
      const auto found = std::find_if(
          members.begin(), members.end(), [&](const Member& member) {
            return member.instance.value() == Name(i);
          });
      if (found == members.end() || !predicate(*found))
        return false;
    }
    return true;
  }

  Gossip& node(int i) { return *nodes_[static_cast<std::size_t>(i)]; }
  int pings() const { return pings_; }

  std::set<int> disconnected;

 private:
  static std::string Name(int i) { return "i" + std::to_string(1000 + i); }
  static net::Address AddressOf(int i) { return {"10.0.0.1", 1000 + i}; }

  void Tick(int i) {
    Gossip& from = node(i);
    for (const net::Address& address : from.OnTick(now_)) {
      const int target = address.port - 1000;
      ++pings_;
      if (disconnected.count(target) != 0)
        continue;
      Gossip& to = node(target);
      const bool new_peer = !to.Knows(from.self().member);
      to.OnMessage(from.self(), from.TakeRumors(false), now_);
      from.OnMessage(to.self(), to.TakeRumors(new_peer), now_);
    }
  }

  std::vector<std::unique_ptr<Gossip>> nodes_;
  base::MonoTime now_ = base::MonoTime() + std::chrono::hours(1);
  int pings_ = 0;
};

}  // namespace

TEST_CASE("All controls discover each other", "[membership]") {
  const int size = GENERATE(1, 3, 9, 60, 340);
  Fleet fleet(size);
  fleet.Run(30);
  CHECK(fleet.ReachableCounts() == std::make_pair(size, size));
}

TEST_CASE("The pings per control do not grow with the fleet", "[membership]") {
  const int size = GENERATE(9, 60, 120);
  Fleet fleet(size);
  fleet.Run(30);
  const int before = fleet.pings();
  fleet.Run(20);
  CHECK(fleet.pings() - before <= 34 * size);
}

TEST_CASE("All controls detect that a control fails and recovers",
          "[membership]") {
  const int size = GENERATE(3, 9, 60);
  Fleet fleet(size);
  fleet.Run(30);
  fleet.disconnected = {1};
  fleet.Run(25);
  CHECK(fleet.ReachableCounts() == std::make_pair(size - 1, size - 1));
  fleet.disconnected.clear();
  fleet.Run(30);
  CHECK(fleet.ReachableCounts() == std::make_pair(size, size));
}

TEST_CASE("A zone rejoins the fleet after a network partition",
          "[membership]") {
  Fleet fleet(60);
  fleet.Run(30);
  for (int i = 0; i < 60; i += kZones)
    fleet.disconnected.insert(i);
  fleet.Run(60);
  CHECK(fleet.ReachableCounts() == std::make_pair(45, 45));
  fleet.disconnected.clear();
  fleet.Run(60);
  CHECK(fleet.ReachableCounts() == std::make_pair(60, 60));
}

TEST_CASE("All controls learn that a control is leaving", "[membership]") {
  Fleet fleet(60);
  fleet.Run(30);
  fleet.node(7).SetLeaving();
  fleet.Run(15);
  CHECK(fleet.AllViewsMatch(
      7, [](const Member& member) { return member.leaving; }));
}

TEST_CASE("A restarted control replaces its earlier process", "[membership]") {
  Fleet fleet(60);
  fleet.Run(30);
  const auto is_restarted = [](const Member& member) {
    return member.holder.value() == "i1007/2" && member.reachable;
  };
  fleet.Start(7, 2);
  fleet.Run(30);
  CHECK(fleet.AllViewsMatch(7, is_restarted));
}

TEST_CASE("Members without instance or address are ignored", "[membership]") {
  Fleet fleet(1);
  Rumor empty;
  fleet.node(0).OnMessage(empty, {empty}, base::MonoTime());
  CHECK(fleet.node(0).Members().size() == 1);
}
