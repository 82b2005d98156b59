#include "dandelionmill/gateway/request_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dandelionmill/scheduling/allowance_share.h"

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Delay of a request behind its earliest time that later ones make up for.
constexpr milliseconds kMaxDelayMadeUp{50};

// More instances than any fleet has; a limit from outside may be any number.
constexpr double kMaxSharingInstances = 1e6;

// Instances that share a limit of `requests_per_s`. Each may send one request
// at any moment, so their number bounds the burst; it grows with the limit,
// since the backend server tolerates a burst in proportion to it.
std::size_t MaxSharingInstances(double requests_per_s) {
  return 3 + static_cast<std::size_t>(
                 std::min(2 * requests_per_s, kMaxSharingInstances));
}

base::MonoTime::duration Interval(double requests, double requests_per_s) {
  return duration_cast<base::MonoTime::duration>(
      duration<double>(requests / requests_per_s));
}

bool HasChanged(std::optional<double> a, std::optional<double> b) {
  if (a.has_value() != b.has_value())
    return true;
  return a && std::abs(*a - *b) >
                  RequestLimits::kMinReportedChange * std::max(*a, *b);
}

}  // namespace

void RequestLimits::SetInstances(const base::InstanceId& self,
                                 const std::vector<base::InstanceId>& others) {
  self_ = self;
  others_ = others;
  for (auto& [backend, limit] : limits_)
    limit.share = ShareOf(backend, limit.requests_per_s);
}

std::optional<RequestLimits::Share> RequestLimits::ShareOf(
    const base::BackendId& backend,
    double requests_per_s) const {
  Share share;
  share.instances =
      std::min(MaxSharingInstances(requests_per_s), others_.size() + 1);
  share.rank = scheduling::RendezvousRank(backend, self_, others_);
  if (share.rank >= share.instances)
    return std::nullopt;
  return share;
}

bool RequestLimits::Apply(const Observation& observation, base::MonoTime now) {
  const auto known = limits_.find(observation.backend);
  if (!observation.requests_per_s) {
    if (known == limits_.end())
      return false;
    limits_.erase(known);
    return true;
  }
  const double requests_per_s =
      std::max(*observation.requests_per_s, kMinRequestsPerS);
  const bool is_new = known == limits_.end() ||
                      !known->second.process.IsSameAs(observation.process);
  Limit& limit = limits_[observation.backend];
  const bool has_changed =
      is_new || HasChanged(limit.requests_per_s, requests_per_s);
  if (is_new) {
    limit = Limit();
    // The instances begin one after the other.
    limit.share = ShareOf(observation.backend, requests_per_s);
    if (limit.share)
      limit.next_at = now + Interval(static_cast<double>(limit.share->rank) + 1,
                                     requests_per_s);
  } else if (limit.requests_per_s != requests_per_s) {
    limit.share = ShareOf(observation.backend, requests_per_s);
  }
  if (is_new || observation.process.connected_at > limit.process.connected_at)
    limit.process = observation.process;
  limit.requests_per_s = requests_per_s;
  return has_changed;
}

bool RequestLimits::OnResponse(const Observation& observation,
                               base::MonoTime sent_at,
                               base::MonoTime now) {
  const auto known = limits_.find(observation.backend);
  // Responses overtake each other: one to an earlier request may be older than
  // the limit.
  if (!observation.requests_per_s &&
      (known == limits_.end() || sent_at <= known->second.named_at))
    return false;
  std::optional<double> reported;
  if (known != limits_.end())
    reported = known->second.reported;
  const bool has_changed = Apply(observation, now);
  std::optional<double> limit = LimitOf(observation.backend);
  if (HasChanged(reported, limit))
    observations_.push_back(observation);
  if (limit) {
    limits_[observation.backend].named_at = now;
    limits_[observation.backend].reported = limit;
  }
  return has_changed;
}

bool RequestLimits::MergeObservation(const Observation& observation,
                                     base::MonoTime now) {
  const bool has_changed = Apply(observation, now);
  const auto known = limits_.find(observation.backend);
  if (known != limits_.end())
    known->second.reported = known->second.requests_per_s;
  return has_changed;
}

void RequestLimits::OnSent(const base::BackendId& backend, base::MonoTime now) {
  const auto known = limits_.find(backend);
  if (known == limits_.end())
    return;
  Limit& limit = known->second;
  if (!limit.share)
    return;
  limit.next_at = std::max(limit.next_at, now - kMaxDelayMadeUp) +
                  Interval(static_cast<double>(limit.share->instances),
                           limit.requests_per_s);
}

std::vector<RequestLimits::Observation> RequestLimits::TakeObservations() {
  return std::exchange(observations_, {});
}

const RequestLimits::Limit* RequestLimits::Find(const BackendEntry& backend,
                                                base::MonoTime now) const {
  const auto known = limits_.find(backend.id);
  if (known == limits_.end())
    return nullptr;
  const Limit& limit = known->second;
  const bool applies =
      limit.process.IsOf(backend) || (limit.process.MayBeOf(backend) &&
                                      now - limit.named_at < kMaxUnprovenTime);
  return applies ? &limit : nullptr;
}

bool RequestLimits::Admits(const BackendEntry& backend,
                           base::MonoTime now) const {
  const Limit* limit = Find(backend, now);
  return limit == nullptr || (limit->share && now >= limit->next_at);
}

std::optional<milliseconds> RequestLimits::TimeUntilAdmitted(
    const BackendEntry& backend,
    base::MonoTime now) const {
  if (Admits(backend, now))
    return milliseconds(0);
  const Limit& limit = limits_.at(backend.id);
  if (!limit.share)
    return std::nullopt;
  return duration_cast<milliseconds>(limit.next_at - now);
}

std::optional<double> RequestLimits::LimitOf(
    const base::BackendId& backend) const {
  const auto known = limits_.find(backend);
  if (known == limits_.end())
    return std::nullopt;
  return known->second.requests_per_s;
}

}  // namespace dandelionmill::gateway
