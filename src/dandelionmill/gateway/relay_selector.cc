#include "dandelionmill/gateway/relay_selector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionmill::gateway {

using std::chrono::milliseconds;

void RelaySelector::SetInstances(std::vector<peer::Instance> others) {
  others_ = std::move(others);
}

void RelaySelector::OnUnreachable(const base::InstanceId& instance,
                                  base::MonoTime now) {
  Record(unreachable_, instance, now);
}

void RelaySelector::OnRefused(const base::InstanceId& instance,
                              const base::ServiceId& service,
                              base::MonoTime now) {
  Record(refused_[service], instance, now);
}

void RelaySelector::Record(Failures& failures,
                           const base::InstanceId& instance,
                           base::MonoTime now) {
  for (auto it = failures.begin(); it != failures.end();) {
    it =
        now - it->second >= kAvoidanceTime ? failures.erase(it) : std::next(it);
  }
  failures[instance] = now;
}

std::optional<milliseconds> RelaySelector::FailureAge(
    const Failures& failures,
    const base::InstanceId& instance,
    base::MonoTime now) {
  const auto found = failures.find(instance);
  if (found == failures.end() || now - found->second >= kAvoidanceTime)
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - found->second);
}

RelaySelector::Avoided RelaySelector::AvoidedFor(const base::ServiceId& service,
                                                 base::MonoTime now) const {
  const auto refused = refused_.find(service);
  Avoided avoided;
  for (const peer::Instance& instance : others_) {
    auto age = FailureAge(unreachable_, instance.id, now);
    if (age) {
      ++avoided.unreachable;
    } else if (refused != refused_.end()) {
      age = FailureAge(refused->second, instance.id, now);
      avoided.refused += age ? 1 : 0;
    }
    avoided.oldest = std::max(avoided.oldest, age.value_or(milliseconds(0)));
  }
  return avoided;
}

int RelaySelector::RankOf(const peer::Instance& instance,
                          const base::ZoneId& backend_zone) const {
  if (instance.zone == own_zone_)
    return 0;
  return instance.zone == backend_zone ? 1 : 2;
}

std::optional<peer::Instance> RelaySelector::Choose(
    const base::ServiceId& service,
    const base::ZoneId& backend_zone,
    const scheduling::AllowedZones& allowed,
    base::MonoTime now) {
  const Failures& refused = refused_[service];
  std::vector<const peer::Instance*> best;
  for (const peer::Instance& instance : others_) {
    if (FailureAge(unreachable_, instance.id, now) ||
        FailureAge(refused, instance.id, now) ||
        !allowed.Contains(instance.zone))
      continue;
    if (!best.empty()) {
      const int difference =
          RankOf(instance, backend_zone) - RankOf(*best.front(), backend_zone);
      if (difference > 0)
        continue;
      if (difference < 0)
        best.clear();
    }
    best.push_back(&instance);
  }
  if (best.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> index(0, best.size() - 1);
  return *best[index(random_)];
}

}  // namespace dandelionmill::gateway
