#ifndef SRC_DANDELIONMILL_MEMBERSHIP_GOSSIP_H_
#define SRC_DANDELIONMILL_MEMBERSHIP_GOSSIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/membership/view.h"
#include "dandelionmill/storage/instance_list.h"

namespace dandelionmill::membership {

// What one control tells another about a control.
struct Rumor {
  Member member;
  // Of two rumors of an instance the one with the higher sequence holds.
  std::uint64_t sequence = 0;
};

// Keeps the view of the fleet by sampled heartbeats, after SWIM (Das, Gupta and
// Motivala, 2002): each period a control pings one other, and pings and
// answers carry a few rumors, new ones first. The one pinged stands 1, 2, 4,
// 8, ... places further in the order of instances, in turn, so that everybody
// is pinged equally often, over few connections. The cost of a control does not
// grow with the fleet, and a change reaches all in a number of periods that
// grows with the logarithm of its size. Pure: no I/O.
class Gossip {
 public:
  struct Options {
    // How often a control of the own availability zone is pinged.
    std::chrono::milliseconds period{1000};
    // One of another zone is pinged once in so many periods.
    int other_zone_periods = 2;
    // News carried by each message, and rumors that are not news.
    std::size_t news = 8;
    std::size_t old_rumors = 1;
    // Rumors sent to a control that is new to us.
    std::size_t rumors_for_newcomer = 64;
    // How long an instance that neither answers nor is listed is remembered.
    std::chrono::milliseconds forget_after{60000};
  };

  // `self` describes this control; `sequence` must exceed that of the
  // instance's earlier lives, such as the time in milliseconds.
  Gossip(Options options, Rumor self, std::uint64_t seed);

  // Commands.
  // Returns the addresses to ping now, each to be answered by OnHeard.
  std::vector<net::Address> OnTick(base::MonoTime now);
  // A ping or the answer to one came from `sender`, with rumors. Returns
  // whether the view changed.
  bool OnHeard(const Rumor& sender,
               const std::vector<Rumor>& rumors,
               base::MonoTime now);
  // The platform's list was read.
  void OnList(const std::vector<storage::ListedInstance>& list,
              base::MonoTime now);
  // Addresses to ping while nobody else is known.
  void SetSeeds(std::vector<net::Address> seeds) { seeds_ = std::move(seeds); }
  void SetLeaving();
  void SetConfigVersion(base::ConfigVersion version);

  // Returns the rumors for the next message and counts them as told. A
  // newcomer gets more of them.
  std::vector<Rumor> TakeRumors(bool for_newcomer);

  // Queries.
  const Rumor& self() const { return self_; }
  // Whether this life of the control is known.
  bool Knows(const Member& member) const;
  // All controls known, this one included.
  std::vector<Member> Members() const;

 private:
  struct Known {
    Rumor rumor;
    // When it last answered or spoke to us.
    std::optional<base::MonoTime> heard;
    // When the ping was sent that it has not answered yet.
    std::optional<base::MonoTime> pinged;
    int missed = 0;
    // Messages that may still carry news of it.
    int tellings = 0;
    base::MonoTime unreachable_since;
  };

  bool Learn(const Rumor& rumor, bool is_sender, base::MonoTime now);
  void NoteMissedPings(base::MonoTime now);
  void Forget(base::MonoTime now);
  void SetReachable(Known& known, bool reachable, base::MonoTime now);
  std::vector<net::Address> ChoosePings(base::MonoTime now);
  // The control to ping in round `round` among those that are reachable and in
  // the own zone, or in the others; null when there is none.
  Known* ChooseOnRing(bool own_zone, std::uint64_t round);
  Known* ChooseUnreachable();
  std::vector<net::Address> UnknownAddresses() const;
  int TellingsOfNews() const;

  const Options options_;
  Rumor self_;
  std::map<base::InstanceId, Known> known_;
  std::map<base::InstanceId, storage::ListedInstance> listed_;
  std::vector<net::Address> seeds_;
  std::mt19937_64 random_;
  base::MonoTime next_period_;
  std::uint64_t round_ = 0;
};

}  // namespace dandelionmill::membership

#endif  // SRC_DANDELIONMILL_MEMBERSHIP_GOSSIP_H_
