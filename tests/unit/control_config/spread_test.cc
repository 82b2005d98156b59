#include "dandelionmill/control/internal/config_spread.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace base = dandelionmill::base;
namespace membership = dandelionmill::membership;
namespace net = dandelionmill::net;
using dandelionmill::control::internal::IsZonePoller;
using dandelionmill::control::internal::kPollersPerZone;
using dandelionmill::control::internal::PeersToNotify;

namespace {

constexpr int kZones = 4;

membership::View Fleet(int size) {
  membership::View view;
  for (int i = 0; i < size; ++i) {
    membership::Member member;
    member.instance = base::InstanceId("i" + std::to_string(i));
    member.zone = base::ZoneId("zone-" + std::to_string(i % kZones));
    member.address = net::Address{"10.0.0.1", 1000 + i};
    member.reachable = true;
    view.members.push_back(member);
  }
  return view;
}

std::size_t CountPollers(const membership::View& view) {
  return static_cast<std::size_t>(std::count_if(
      view.members.begin(), view.members.end(), [&](const auto& member) {
        return member.reachable && IsZonePoller(view, member.instance);
      }));
}

}  // namespace

TEST_CASE("At most kPollersPerZone controls of each zone are zone pollers",
          "[config]") {
  CHECK(CountPollers(Fleet(1)) == 1);
  CHECK(CountPollers(Fleet(9)) == kZones * kPollersPerZone);
  CHECK(CountPollers(Fleet(340)) == kZones * kPollersPerZone);
  SECTION("unreachable pollers are replaced") {
    membership::View view = Fleet(60);
    for (membership::Member& member : view.members) {
      if (IsZonePoller(Fleet(60), member.instance))
        member.reachable = false;
    }
    CHECK(CountPollers(view) == kZones * kPollersPerZone);
  }
  SECTION("a control with an empty view is a poller") {
    CHECK(IsZonePoller(membership::View(), base::InstanceId("i0")));
  }
}

TEST_CASE("An announcement by one zone poller reaches every control",
          "[config]") {
  const membership::View view = Fleet(60);
  const auto first = std::find_if(
      view.members.begin(), view.members.end(),
      [&](const auto& member) { return IsZonePoller(view, member.instance); });
  std::set<net::Address> notified = {first->address};
  std::vector<const membership::Member*> queue = {&*first};
  while (!queue.empty()) {
    const membership::Member* sender = queue.back();
    queue.pop_back();
    for (const net::Address& peer : PeersToNotify(view, sender->instance)) {
      if (notified.insert(peer).second)
        queue.push_back(
            &view.members[static_cast<std::size_t>(peer.port - 1000)]);
    }
  }
  CHECK(notified.size() == view.members.size());
  SECTION("other controls announce nothing") {
    for (const membership::Member& member : view.members) {
      if (!IsZonePoller(view, member.instance))
        CHECK(PeersToNotify(view, member.instance).empty());
    }
  }
}
