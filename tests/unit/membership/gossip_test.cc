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

// Controls that ping each other without delay. Those in `cut` neither send nor
// receive; a ping to one is lost.
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
      node->OnList(list, now_);
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
        if (cut.count(static_cast<int>(i)) == 0)
          Tick(static_cast<int>(i));
      }
    }
  }

  // How many others each connected control believes to be reachable: the least
  // and the most of all.
  std::pair<int, int> Reachable() const {
    int least = static_cast<int>(nodes_.size());
    int most = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (cut.count(static_cast<int>(i)) != 0)
        continue;
      const std::vector<Member> members = nodes_[i]->Members();
      const int count = static_cast<int>(
          std::count_if(members.begin(), members.end(),
                        [](const Member& m) { return m.reachable; }));
      least = std::min(least, count);
      most = std::max(most, count);
    }
    return {least, most};
  }

  // Whether every connected control holds `predicate` of control `i`.
  template <class Predicate>
  bool AllSee(int i, Predicate predicate) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (cut.count(static_cast<int>(n)) != 0 || static_cast<int>(n) == i)
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

  std::set<int> cut;

 private:
  static std::string Name(int i) { return "i" + std::to_string(1000 + i); }
  static net::Address AddressOf(int i) { return {"10.0.0.1", 1000 + i}; }

  void Tick(int i) {
    Gossip& from = node(i);
    for (const net::Address& address : from.OnTick(now_)) {
      const int target = address.port - 1000;
      ++pings_;
      if (cut.count(target) != 0)
        continue;
      Gossip& to = node(target);
      const bool newcomer = !to.Knows(from.self().member);
      to.OnHeard(from.self(), from.TakeRumors(false), now_);
      from.OnHeard(to.self(), to.TakeRumors(newcomer), now_);
    }
  }

  std::vector<std::unique_ptr<Gossip>> nodes_;
  base::MonoTime now_ = base::MonoTime() + std::chrono::hours(1);
  int pings_ = 0;
};

}  // namespace

TEST_CASE("All controls find each other and agree", "[membership]") {
  const int size = GENERATE(1, 3, 9, 60, 340);
  Fleet fleet(size);
  fleet.Run(30);
  CHECK(fleet.Reachable() == std::make_pair(size, size));
}

TEST_CASE("The pings of a control do not grow with the fleet", "[membership]") {
  const int size = GENERATE(9, 60, 120);
  Fleet fleet(size);
  fleet.Run(30);
  const int before = fleet.pings();
  fleet.Run(20);
  CHECK(fleet.pings() - before <= 34 * size);
}

TEST_CASE("A lost control is noticed everywhere, and so is its return",
          "[membership]") {
  const int size = GENERATE(3, 9, 60);
  Fleet fleet(size);
  fleet.Run(30);
  fleet.cut = {1};
  fleet.Run(25);
  CHECK(fleet.Reachable() == std::make_pair(size - 1, size - 1));
  fleet.cut.clear();
  fleet.Run(30);
  CHECK(fleet.Reachable() == std::make_pair(size, size));
}

TEST_CASE("A zone that was cut off is taken back in", "[membership]") {
  Fleet fleet(60);
  fleet.Run(30);
  for (int i = 0; i < 60; i += kZones)
    fleet.cut.insert(i);
  fleet.Run(60);
  CHECK(fleet.Reachable() == std::make_pair(45, 45));
  fleet.cut.clear();
  fleet.Run(60);
  CHECK(fleet.Reachable() == std::make_pair(60, 60));
}

TEST_CASE("A control that is leaving is known as such everywhere",
          "[membership]") {
  Fleet fleet(60);
  fleet.Run(30);
  fleet.node(7).SetLeaving();
  fleet.Run(15);
  CHECK(fleet.AllSee(7, [](const Member& member) { return member.leaving; }));
}

TEST_CASE("A replaced process takes the place of the earlier one",
          "[membership]") {
  Fleet fleet(60);
  fleet.Run(30);
  const auto is_new = [](const Member& member) {
    return member.holder.value() == "i1007/2" && member.reachable;
  };
  fleet.Start(7, 2);
  fleet.Run(30);
  CHECK(fleet.AllSee(7, is_new));
}

TEST_CASE("Members without instance or address are ignored", "[membership]") {
  Fleet fleet(1);
  Rumor empty;
  fleet.node(0).OnHeard(empty, {empty}, base::MonoTime());
  CHECK(fleet.node(0).Members().size() == 1);
}
