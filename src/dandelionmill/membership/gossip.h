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

// The state of a control, as one control sends it to another.
struct Rumor {
  Member member;
  // Of two rumors about an instance the one with the higher sequence is valid.
  std::uint64_t sequence = 0;
};

// Maintains the view of the fleet by sampled heartbeats, after SWIM (Das, Gupta
// and Motivala, 2002): each period a control pings one other control, and pings
// and replies carry a few rumors, new ones first. The target is 1, 2, 4, 8, ...
// places further in the order of instances, in turn, so that all controls are
// pinged equally often, over few connections. The load per control does not
// grow with the fleet, and a change reaches all controls in a number of periods
// that grows with the logarithm of the fleet's size. Does no I/O.
class Gossip {
 public:
  struct Options {
    // Interval between pings to controls of the own availability zone.
    std::chrono::milliseconds period{1000};
    // A control of another zone is pinged once in this many periods.
    int other_zone_periods = 2;
    // Maximum number of rumors in a message, and how many of them may be old.
    std::size_t max_rumors = 8;
    std::size_t max_old_rumors = 1;
    // Maximum number of rumors sent to a control that was not known before.
    std::size_t max_rumors_for_new_peer = 64;
    // How long a control that is unreachable and not listed is remembered.
    std::chrono::milliseconds remove_after{60000};
  };

  // `self` describes this control. Its `sequence` must exceed that of earlier
  // processes of the instance; the time in milliseconds does.
  Gossip(Options options, Rumor self, std::uint64_t seed);

  // Commands.
  // Returns the addresses to ping now. Each reply is to be passed to OnMessage.
  std::vector<net::Address> OnTick(base::MonoTime now);
  // Processes a ping or the reply to one from `sender`, with its rumors.
  // Returns whether the view changed.
  bool OnMessage(const Rumor& sender,
                 const std::vector<Rumor>& rumors,
                 base::MonoTime now);
  // Processes the platform's list of instances.
  void OnInstanceList(const std::vector<storage::ListedInstance>& list,
                      base::MonoTime now);
  // Sets the addresses to ping while no other control is known or listed.
  void SetSeeds(std::vector<net::Address> seeds) { seeds_ = std::move(seeds); }
  void SetLeaving();
  void SetConfigVersion(base::ConfigVersion version);

  // Returns the rumors for the next message and counts them as sent. A control
  // that was not known before gets more of them.
  std::vector<Rumor> TakeRumors(bool for_new_peer);

  // Queries.
  const Rumor& self() const { return self_; }
  // Whether this process of the control is known, not only its instance.
  bool Knows(const Member& member) const;
  // Returns all known controls, including this one.
  std::vector<Member> Members() const;

 private:
  struct Peer {
    Rumor rumor;
    // When it last sent a ping or a reply.
    std::optional<base::MonoTime> last_heard_at;
    // When the ping was sent whose reply is still missing.
    std::optional<base::MonoTime> ping_sent_at;
    int missed_pings = 0;
    // Number of messages that still carry this rumor as a new one.
    int remaining_transmissions = 0;
    base::MonoTime unreachable_since;
  };

  bool MergeRumor(const Rumor& rumor, bool is_sender, base::MonoTime now);
  void CountMissedPings(base::MonoTime now);
  void RemoveExpired(base::MonoTime now);
  void SetReachable(Peer& peer, bool reachable, base::MonoTime now);
  std::vector<net::Address> ChoosePings(base::MonoTime now);
  // Returns the control to ping in round `round` among the reachable controls
  // of the own zone, or of the other zones; nullptr when there is none.
  Peer* ChooseOnRing(bool own_zone, std::uint64_t round);
  Peer* ChooseUnreachable();
  std::vector<net::Address> UnknownAddresses() const;
  int TransmissionLimit() const;

  const Options options_;
  Rumor self_;
  std::map<base::InstanceId, Peer> peers_;
  std::map<base::InstanceId, storage::ListedInstance> listed_;
  std::vector<net::Address> seeds_;
  std::mt19937_64 random_;
  base::MonoTime next_period_;
  std::uint64_t round_ = 0;
};

}  // namespace dandelionmill::membership

#endif  // SRC_DANDELIONMILL_MEMBERSHIP_GOSSIP_H_
