#include "dandelionmill/membership/gossip.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace dandelionmill::membership {
namespace {

constexpr int kMissedPingsToUnreachable = 2;
// An unreachable control is pinged once in this many periods.
constexpr std::uint64_t kPeriodsPerUnreachablePing = 5;
// Maximum number of pings per period to addresses of unknown controls.
constexpr std::size_t kMaxUnknownPings = 3;
// A new rumor is sent this many times log2 of the number of controls.
constexpr double kTransmissionsFactor = 3;

bool IsNewer(const Rumor& a, const Rumor& b) {
  return std::tie(a.sequence, a.member.config_version) >
         std::tie(b.sequence, b.member.config_version);
}

}  // namespace

Gossip::Gossip(Options options, Rumor self, std::uint64_t seed)
    : options_(options), self_(std::move(self)), random_(seed) {
  self_.member.reachable = true;
}

std::vector<net::Address> Gossip::OnTick(base::MonoTime now) {
  if (now < next_period_)
    return {};
  next_period_ = now + options_.period;
  CountMissedPings(now);
  RemoveExpired(now);
  return ChoosePings(now);
}

bool Gossip::OnMessage(const Rumor& sender,
                       const std::vector<Rumor>& rumors,
                       base::MonoTime now) {
  bool changed = MergeRumor(sender, true, now);
  for (const Rumor& rumor : rumors)
    changed = MergeRumor(rumor, false, now) || changed;
  return changed;
}

void Gossip::OnInstanceList(const std::vector<storage::ListedInstance>& list,
                            base::MonoTime) {
  listed_.clear();
  for (const storage::ListedInstance& instance : list) {
    const base::InstanceId id(instance.id);
    if (instance.role == "entry" && id != self_.member.instance)
      listed_.emplace(id, instance);
  }
}

void Gossip::SetLeaving() {
  self_.member.leaving = true;
  ++self_.sequence;
}

void Gossip::SetConfigVersion(base::ConfigVersion version) {
  self_.member.config_version = version;
}

bool Gossip::MergeRumor(const Rumor& rumor,
                        bool is_sender,
                        base::MonoTime now) {
  const base::InstanceId& id = rumor.member.instance;
  if (id.empty() || rumor.member.address.port == 0)
    return false;
  if (id == self_.member.instance) {
    const bool same_process = rumor.member.holder == self_.member.holder;
    if (same_process && !rumor.member.reachable &&
        rumor.sequence >= self_.sequence)
      self_.sequence = rumor.sequence + 1;  // refutes the rumor
    return false;
  }
  const auto found = peers_.find(id);
  const bool is_new = found == peers_.end();
  Peer& peer = peers_[id];
  const bool newer =
      is_new || IsNewer(rumor, peer.rumor) ||
      (is_sender && rumor.member.holder != peer.rumor.member.holder);
  const bool was_reachable = !is_new && peer.rumor.member.reachable;
  const bool reports_unreachable = !rumor.member.reachable && !is_new &&
                                   rumor.sequence == peer.rumor.sequence;
  bool changed = false;
  if (newer) {
    const bool is_news = is_new || rumor.sequence != peer.rumor.sequence ||
                         rumor.member.holder != peer.rumor.member.holder;
    peer.rumor = rumor;
    peer.rumor.member.reachable = was_reachable;
    changed = true;
    if (is_news)
      peer.remaining_transmissions = TransmissionLimit();
    if (rumor.member.reachable && !was_reachable)
      SetReachable(peer, true, now);
  }
  if (is_sender) {
    peer.last_heard_at = now;
    peer.ping_sent_at.reset();
    peer.missed_pings = 0;
  }
  const bool heard_recently =
      peer.last_heard_at &&
      now - *peer.last_heard_at < kMissedPingsToUnreachable * options_.period;
  if (is_sender && !peer.rumor.member.reachable) {
    SetReachable(peer, true, now);
    changed = true;
  } else if (reports_unreachable && peer.rumor.member.reachable &&
             !heard_recently) {
    SetReachable(peer, false, now);
    changed = true;
  }
  return changed;
}

void Gossip::CountMissedPings(base::MonoTime now) {
  for (auto& [id, peer] : peers_) {
    if (!peer.ping_sent_at)
      continue;
    peer.ping_sent_at.reset();
    ++peer.missed_pings;
    if (peer.missed_pings >= kMissedPingsToUnreachable &&
        peer.rumor.member.reachable)
      SetReachable(peer, false, now);
  }
}

void Gossip::SetReachable(Peer& peer, bool reachable, base::MonoTime now) {
  peer.rumor.member.reachable = reachable;
  peer.remaining_transmissions = TransmissionLimit();
  if (!reachable)
    peer.unreachable_since = now;
}

void Gossip::RemoveExpired(base::MonoTime now) {
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    const Peer& peer = entry->second;
    const bool expired = !peer.rumor.member.reachable &&
                         listed_.count(entry->first) == 0 &&
                         now - peer.unreachable_since > options_.remove_after;
    entry = expired ? peers_.erase(entry) : std::next(entry);
  }
}

std::vector<net::Address> Gossip::UnknownAddresses() const {
  std::vector<net::Address> addresses;
  for (const auto& [id, instance] : listed_) {
    if (peers_.count(id) != 0)
      continue;
    const base::Result<net::Address> address =
        net::ParseAddress(instance.address);
    if (base::IsOk(address))
      addresses.push_back(base::ValueOf(address));
  }
  if (addresses.empty() && peers_.empty())
    return seeds_;
  return addresses;
}

Gossip::Peer* Gossip::ChooseOnRing(bool own_zone, std::uint64_t round) {
  // The ring lists the controls by instance, starting after this one.
  std::vector<Peer*> after;
  std::vector<Peer*> before;
  for (auto& [id, peer] : peers_) {
    if (peer.rumor.member.reachable &&
        (peer.rumor.member.zone == self_.member.zone) == own_zone)
      (id < self_.member.instance ? before : after).push_back(&peer);
  }
  after.insert(after.end(), before.begin(), before.end());
  if (after.empty())
    return nullptr;
  std::uint64_t distances = 1;
  while ((std::uint64_t{1} << distances) <= after.size())
    ++distances;
  return after[(std::uint64_t{1} << (round % distances)) - 1];
}

Gossip::Peer* Gossip::ChooseUnreachable() {
  std::vector<Peer*> unreachable;
  for (auto& [id, peer] : peers_) {
    if (!peer.rumor.member.reachable)
      unreachable.push_back(&peer);
  }
  return unreachable.empty() ? nullptr
                             : unreachable[random_() % unreachable.size()];
}

std::vector<net::Address> Gossip::ChoosePings(base::MonoTime now) {
  std::set<Peer*> chosen;
  for (auto& [id, peer] : peers_) {
    if (peer.rumor.member.reachable && peer.missed_pings > 0)
      chosen.insert(&peer);
  }
  const auto other_periods =
      static_cast<std::uint64_t>(options_.other_zone_periods);
  chosen.insert(ChooseOnRing(true, round_));
  if (round_ % other_periods == 0)
    chosen.insert(ChooseOnRing(false, round_ / other_periods));
  if (round_ % kPeriodsPerUnreachablePing == 0)
    chosen.insert(ChooseUnreachable());
  ++round_;
  chosen.erase(nullptr);
  std::vector<net::Address> pings;
  for (Peer* peer : chosen) {
    peer->ping_sent_at = now;
    pings.push_back(peer->rumor.member.address);
  }
  std::vector<net::Address> unknown = UnknownAddresses();
  std::shuffle(unknown.begin(), unknown.end(), random_);
  unknown.resize(std::min(unknown.size(), kMaxUnknownPings));
  pings.insert(pings.end(), unknown.begin(), unknown.end());
  return pings;
}

bool Gossip::Knows(const Member& member) const {
  const auto found = peers_.find(member.instance);
  return found != peers_.end() &&
         found->second.rumor.member.holder == member.holder;
}

std::vector<Rumor> Gossip::TakeRumors(bool for_new_peer) {
  std::vector<Peer*> with_new_rumors;
  std::vector<Peer*> with_old_rumors;
  for (auto& [id, peer] : peers_)
    (peer.remaining_transmissions > 0 ? with_new_rumors : with_old_rumors)
        .push_back(&peer);
  const std::size_t max_total =
      for_new_peer ? options_.max_rumors_for_new_peer : options_.max_rumors;
  const std::size_t max_old =
      for_new_peer ? max_total : options_.max_old_rumors;
  // Rumors that were sent least often come first.
  std::sort(with_new_rumors.begin(), with_new_rumors.end(),
            [](const Peer* a, const Peer* b) {
              return a->remaining_transmissions > b->remaining_transmissions;
            });
  std::vector<Rumor> rumors;
  for (Peer* peer : with_new_rumors) {
    if (rumors.size() == max_total)
      return rumors;
    --peer->remaining_transmissions;
    rumors.push_back(peer->rumor);
  }
  const std::size_t start =
      with_old_rumors.empty() ? 0 : random_() % with_old_rumors.size();
  const std::size_t old_count = std::min(
      {with_old_rumors.size(), max_old, max_total - with_new_rumors.size()});
  for (std::size_t i = 0; i < old_count; ++i)
    rumors.push_back(
        with_old_rumors[(start + i) % with_old_rumors.size()]->rumor);
  return rumors;
}

std::vector<Member> Gossip::Members() const {
  std::vector<Member> members = {self_.member};
  for (const auto& [id, peer] : peers_)
    members.push_back(peer.rumor.member);
  return members;
}

int Gossip::TransmissionLimit() const {
  const double controls = static_cast<double>(peers_.size()) + 2;
  return static_cast<int>(
      std::ceil(kTransmissionsFactor * std::log2(controls)));
}

}  // namespace dandelionmill::membership
