#include "dandelionmill/membership/gossip.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace dandelionmill::membership {
namespace {

constexpr int kMissedPingsToUnreachable = 2;
constexpr std::uint64_t kPeriodsPerRetry = 5;  // of an unreachable control
constexpr std::size_t kUnknownPings = 3;       // per period
constexpr double kTellingsFactor = 3;  // times log2 of the number of controls

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
  NoteMissedPings(now);
  Forget(now);
  return ChoosePings(now);
}

bool Gossip::OnHeard(const Rumor& sender,
                     const std::vector<Rumor>& rumors,
                     base::MonoTime now) {
  bool changed = Learn(sender, true, now);
  for (const Rumor& rumor : rumors)
    changed = Learn(rumor, false, now) || changed;
  return changed;
}

void Gossip::OnList(const std::vector<storage::ListedInstance>& list,
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

bool Gossip::Learn(const Rumor& rumor, bool is_sender, base::MonoTime now) {
  const base::InstanceId& id = rumor.member.instance;
  if (id.empty() || rumor.member.address.port == 0)
    return false;
  if (id == self_.member.instance) {
    const bool about_us = rumor.member.holder == self_.member.holder;
    if (about_us && !rumor.member.reachable && rumor.sequence >= self_.sequence)
      self_.sequence = rumor.sequence + 1;  // contradict it
    return false;
  }
  const auto found = known_.find(id);
  const bool is_new = found == known_.end();
  Known& known = known_[id];
  const bool newer =
      is_new || IsNewer(rumor, known.rumor) ||
      (is_sender && rumor.member.holder != known.rumor.member.holder);
  const bool was_reachable = !is_new && known.rumor.member.reachable;
  const bool says_lost = !rumor.member.reachable && !is_new &&
                         rumor.sequence == known.rumor.sequence;
  bool changed = false;
  if (newer) {
    const bool matters = is_new || rumor.sequence != known.rumor.sequence ||
                         rumor.member.holder != known.rumor.member.holder;
    known.rumor = rumor;
    known.rumor.member.reachable = was_reachable;
    changed = true;
    if (matters)
      known.tellings = TellingsOfNews();
    if (rumor.member.reachable && !was_reachable)
      SetReachable(known, true, now);
  }
  if (is_sender) {
    known.heard = now;
    known.pinged.reset();
    known.missed = 0;
  }
  const bool heard_lately =
      known.heard &&
      now - *known.heard < kMissedPingsToUnreachable * options_.period;
  if (is_sender && !known.rumor.member.reachable) {
    SetReachable(known, true, now);
    changed = true;
  } else if (says_lost && known.rumor.member.reachable && !heard_lately) {
    SetReachable(known, false, now);
    changed = true;
  }
  return changed;
}

void Gossip::NoteMissedPings(base::MonoTime now) {
  for (auto& [id, known] : known_) {
    if (!known.pinged)
      continue;
    known.pinged.reset();
    ++known.missed;
    if (known.missed >= kMissedPingsToUnreachable &&
        known.rumor.member.reachable)
      SetReachable(known, false, now);
  }
}

void Gossip::SetReachable(Known& known, bool reachable, base::MonoTime now) {
  known.rumor.member.reachable = reachable;
  known.tellings = TellingsOfNews();
  if (!reachable)
    known.unreachable_since = now;
}

void Gossip::Forget(base::MonoTime now) {
  for (auto entry = known_.begin(); entry != known_.end();) {
    const Known& known = entry->second;
    const bool gone = !known.rumor.member.reachable &&
                      listed_.count(entry->first) == 0 &&
                      now - known.unreachable_since > options_.forget_after;
    entry = gone ? known_.erase(entry) : std::next(entry);
  }
}

std::vector<net::Address> Gossip::UnknownAddresses() const {
  std::vector<net::Address> addresses;
  for (const auto& [id, instance] : listed_) {
    if (known_.count(id) != 0)
      continue;
    const base::Result<net::Address> address =
        net::ParseAddress(instance.address);
    if (base::IsOk(address))
      addresses.push_back(base::ValueOf(address));
  }
  if (addresses.empty() && known_.empty())
    return seeds_;
  return addresses;
}

Gossip::Known* Gossip::ChooseOnRing(bool own_zone, std::uint64_t round) {
  // The ring holds this control and those after it, in order of instance.
  std::vector<Known*> after;
  std::vector<Known*> before;
  for (auto& [id, known] : known_) {
    if (known.rumor.member.reachable &&
        (known.rumor.member.zone == self_.member.zone) == own_zone)
      (id < self_.member.instance ? before : after).push_back(&known);
  }
  after.insert(after.end(), before.begin(), before.end());
  if (after.empty())
    return nullptr;
  std::uint64_t distances = 1;
  while ((std::uint64_t{1} << distances) <= after.size())
    ++distances;
  return after[(std::uint64_t{1} << (round % distances)) - 1];
}

Gossip::Known* Gossip::ChooseUnreachable() {
  std::vector<Known*> unreachable;
  for (auto& [id, known] : known_) {
    if (!known.rumor.member.reachable)
      unreachable.push_back(&known);
  }
  return unreachable.empty() ? nullptr
                             : unreachable[random_() % unreachable.size()];
}

std::vector<net::Address> Gossip::ChoosePings(base::MonoTime now) {
  std::set<Known*> chosen;
  for (auto& [id, known] : known_) {
    if (known.rumor.member.reachable && known.missed > 0)
      chosen.insert(&known);
  }
  const auto other_periods =
      static_cast<std::uint64_t>(options_.other_zone_periods);
  chosen.insert(ChooseOnRing(true, round_));
  if (round_ % other_periods == 0)
    chosen.insert(ChooseOnRing(false, round_ / other_periods));
  if (round_ % kPeriodsPerRetry == 0)
    chosen.insert(ChooseUnreachable());
  ++round_;
  chosen.erase(nullptr);
  std::vector<net::Address> pings;
  for (Known* known : chosen) {
    known->pinged = now;
    pings.push_back(known->rumor.member.address);
  }
  std::vector<net::Address> unknown = UnknownAddresses();
  std::shuffle(unknown.begin(), unknown.end(), random_);
  unknown.resize(std::min(unknown.size(), kUnknownPings));
  pings.insert(pings.end(), unknown.begin(), unknown.end());
  return pings;
}

bool Gossip::Knows(const Member& member) const {
  const auto found = known_.find(member.instance);
  return found != known_.end() &&
         found->second.rumor.member.holder == member.holder;
}

std::vector<Rumor> Gossip::TakeRumors(bool for_newcomer) {
  std::vector<Known*> news;
  std::vector<Known*> rest;
  for (auto& [id, known] : known_)
    (known.tellings > 0 ? news : rest).push_back(&known);
  const std::size_t most =
      for_newcomer ? options_.rumors_for_newcomer : options_.news;
  const std::size_t most_old = for_newcomer ? most : options_.old_rumors;
  // What was told least goes first.
  std::sort(news.begin(), news.end(), [](const Known* a, const Known* b) {
    return a->tellings > b->tellings;
  });
  std::vector<Rumor> rumors;
  for (Known* known : news) {
    if (rumors.size() == most)
      return rumors;
    --known->tellings;
    rumors.push_back(known->rumor);
  }
  const std::size_t start = rest.empty() ? 0 : random_() % rest.size();
  const std::size_t old = std::min({rest.size(), most_old, most - news.size()});
  for (std::size_t i = 0; i < old; ++i)
    rumors.push_back(rest[(start + i) % rest.size()]->rumor);
  return rumors;
}

std::vector<Member> Gossip::Members() const {
  std::vector<Member> members = {self_.member};
  for (const auto& [id, known] : known_)
    members.push_back(known.rumor.member);
  return members;
}

int Gossip::TellingsOfNews() const {
  const double controls = static_cast<double>(known_.size()) + 2;
  return static_cast<int>(std::ceil(kTellingsFactor * std::log2(controls)));
}

}  // namespace dandelionmill::membership
