#include "dandelionmill/scheduling/cold_allowance.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace dandelionmill::scheduling {
namespace {

using gateway::BackendEntry;
using std::chrono::ceil;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Sets of instances that may share an allowance without knowing of each other:
// those before and those after a change that some could not read.
constexpr double kMaxDistinctViews = 2;

// Longest time for which a chosen request keeps others from the share of this
// instance: opening a connection, a health check and a relay.
constexpr milliseconds kMaxReservation{1000};

base::BootClock::duration IntervalOf(const Division& division) {
  return duration_cast<base::BootClock::duration>(duration<double>(
      ColdAllowance::kIntervalMargin / division.requests_per_s));
}

}  // namespace

void ColdAllowance::SetBounds(const Bounds& bounds) {
  bounds_ = bounds;
  Divide();
}

void ColdAllowance::SetServices(std::map<base::ServiceId, Terms> services) {
  services_ = std::move(services);
  for (auto it = members_.begin(); it != members_.end();) {
    const bool has_terms = FindTerms(it->second.service) != nullptr;
    it = has_terms ? std::next(it) : members_.erase(it);
  }
  Divide();
}

void ColdAllowance::SetInstances(const base::InstanceId& self,
                                 std::vector<base::InstanceId> others,
                                 base::BootTime now) {
  if (view_count_++ == 0)
    first_view_at_ = now;
  last_view_at_ = now;
  std::sort(others.begin(), others.end());
  if (self == self_ && others == others_)
    return;
  self_ = self;
  others_ = std::move(others);
  for (auto& [id, member] : members_)
    member.rank = RendezvousRank(id, self_, others_);
  Divide();
}

void ColdAllowance::Divide() {
  divisions_.clear();
  for (const auto& [service, terms] : services_) {
    Divisions& divisions = divisions_[service];
    double rate = terms.requests_per_s;
    for (Division& division : divisions) {
      const double bound = rate * bounds_.overshoot + bounds_.slack;
      // A bound of one request leaves nothing to halve.
      const double max_in_second =
          std::max(bound / kMaxDistinctViews, std::min(bound, 1.0));
      division = DivideRate(rate, max_in_second, others_.size() + 1);
      rate *= 2;
    }
  }
}

const ColdAllowance::Terms* ColdAllowance::FindTerms(
    const base::ServiceId& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

ColdAllowance::Member& ColdAllowance::MemberOf(const BackendEntry& backend) {
  const auto [found, is_new] = members_.try_emplace(backend.id);
  if (is_new) {
    found->second.service = backend.service;
    found->second.rank = RendezvousRank(backend.id, self_, others_);
  }
  return found->second;
}

std::size_t ColdAllowance::StepOf(const Member& member, base::BootTime now) {
  if (!member.cold_until)
    return kGrowthSteps + 1;
  if (now < *member.cold_until)
    return 0;
  const auto steps =
      static_cast<std::size_t>((now - *member.cold_until) / kGrowthStep);
  return std::min(steps, kGrowthSteps) + 1;
}

bool ColdAllowance::IsCold(const Member& member, base::BootTime now) const {
  return member.cold_until && now < *member.cold_until;
}

bool ColdAllowance::HasView(base::BootTime now) const {
  return view_count_ >= 2 && now - first_view_at_ >= kSettleTime &&
         now - last_view_at_ <= kMaxViewAge;
}

const Division* ColdAllowance::ShareOf(const Member& member,
                                       std::size_t step,
                                       base::BootTime now) const {
  if (step > kGrowthSteps || !HasView(now))
    return nullptr;
  const auto found = divisions_.find(member.service);
  if (found == divisions_.end())
    return nullptr;
  const Division& division = found->second[step];
  return member.rank < division.instances && division.requests_per_s > 0
             ? &division
             : nullptr;
}

void ColdAllowance::AddChange(const base::BackendId& id,
                              const Member& member,
                              State state,
                              Source source,
                              base::BootTime now) {
  Change change;
  change.backend = id;
  change.state = state;
  change.source = source;
  if (member.cold_until && now < *member.cold_until)
    change.remaining = ceil<milliseconds>(*member.cold_until - now);
  if (const Division* share = ShareOf(member, 0, now))
    change.requests_per_s = share->requests_per_s / kIntervalMargin;
  const auto division = divisions_.find(member.service);
  if (division != divisions_.end())
    change.sharing = division->second[0].instances;
  change.known = others_.size() + 1;
  changes_.push_back(std::move(change));
}

void ColdAllowance::SetCold(const base::BackendId& id,
                            Member& member,
                            milliseconds remaining,
                            Source source,
                            base::BootTime now) {
  const bool was_cold = IsCold(member, now);
  const base::BootTime end =
      now + std::min<milliseconds>(remaining, kMaxRemaining);
  // An entry is older than a response, so the rest of the time that it names
  // may be over by now.
  if (was_cold && source == Source::kEntry && member.source != Source::kEntry)
    member.cold_until = std::min(*member.cold_until, end);
  else
    member.cold_until = end;
  if (!was_cold || source != Source::kEntry)
    member.source = source;
  if (was_cold)
    return;
  // The instances begin one after the other.
  if (const Division* share = ShareOf(member, 0, now)) {
    const auto delay = static_cast<base::BootClock::rep>(member.rank) *
                       IntervalOf(*share) /
                       static_cast<base::BootClock::rep>(share->instances);
    member.reserved_until = now + delay;
  }
  AddChange(id, member,
            source == Source::kUnanswered ? State::kPossiblyCold : State::kCold,
            source, now);
}

void ColdAllowance::SetWarm(const base::BackendId& id,
                            Member& member,
                            Source source,
                            base::BootTime now) {
  if (!IsCold(member, now))
    return;
  // What was only assumed needs no growth of the allowance.
  if (member.source == Source::kUnanswered) {
    member.cold_until.reset();
    AddChange(id, member, State::kWarm, source, now);
    return;
  }
  member.cold_until = now;
  member.source = source;
}

void ColdAllowance::OnEntry(const BackendEntry& entry, base::BootTime now) {
  if (FindTerms(entry.service) == nullptr)
    return;
  Member& member = MemberOf(entry);
  const Entry last = member.entry.value_or(Entry());
  const bool is_first = !member.entry;
  const bool is_same = !is_first && last.incarnation == entry.incarnation;
  const bool is_old =
      !is_first && (entry.incarnation < last.incarnation ||
                    (is_same && entry.change_count < last.change_count));
  // A full read delivers entries again, however long ago they were written.
  const bool is_known = is_same && entry.change_count == last.change_count &&
                        entry.remaining_warm_up == last.remaining;
  if (is_old || is_known)
    return;
  member.entry = {entry.incarnation, entry.change_count,
                  entry.remaining_warm_up};
  if (!is_first && !is_same)
    member.observed_until.reset();
  if (entry.remaining_warm_up.count() > 0)
    SetCold(entry.id, member, entry.remaining_warm_up, Source::kEntry, now);
  else if (is_same && last.remaining.count() > 0 &&
           member.source == Source::kEntry)
    SetWarm(entry.id, member, Source::kEntry, now);
}

void ColdAllowance::OnResponse(const BackendEntry& backend,
                               std::optional<milliseconds> remaining,
                               base::BootTime opened_at,
                               base::BootTime sent_at,
                               base::BootTime now) {
  if (FindTerms(backend.service) == nullptr)
    return;
  Member& member = MemberOf(backend);
  const bool is_observed =
      member.observed_until &&
      opened_at <= *member.observed_until + kMinRestartTime;
  // A response that says nothing does not show that its process is warm.
  if (!remaining && !is_observed)
    return;
  member.observed_until =
      std::max(member.observed_until.value_or(sent_at), sent_at);
  if (!remaining)
    return;
  if (remaining->count() > 0)
    SetCold(backend.id, member, *remaining, Source::kResponse, now);
  else
    SetWarm(backend.id, member, Source::kResponse, now);
}

void ColdAllowance::OnChecked(const BackendEntry& backend,
                              const CheckResult& result,
                              base::BootTime now) {
  const Terms* terms = FindTerms(backend.service);
  if (terms == nullptr)
    return;
  Member& member = MemberOf(backend);
  if (!result.is_answered) {
    // Another check or a response has shown the state meanwhile.
    if (member.observed_until &&
        result.sent_at <= *member.observed_until + kMinRestartTime)
      return;
    // The process that accepted the connection is warm by the end of that time.
    if (!IsCold(member, now))
      SetCold(backend.id, member, terms->cold_start, Source::kUnanswered, now);
    member.observed_until = *member.cold_until;
    return;
  }
  // Replaces what was assumed of the time to come.
  if (IsCold(member, now) && member.source == Source::kUnanswered)
    member.observed_until.reset();
  member.observed_until =
      std::max(member.observed_until.value_or(result.sent_at), result.sent_at);
  if (result.remaining && result.remaining->count() > 0)
    SetCold(backend.id, member, *result.remaining, Source::kHealthCheck, now);
  else
    SetWarm(backend.id, member, Source::kHealthCheck, now);
}

void ColdAllowance::OnUnobserved(const base::BackendId& backend,
                                 Source source,
                                 base::BootTime now) {
  const auto found = members_.find(backend);
  if (found == members_.end() || !found->second.observed_until)
    return;
  found->second.observed_until.reset();
  AddChange(backend, found->second, State::kPossiblyCold, source, now);
}

void ColdAllowance::Reserve(const BackendEntry& backend, base::BootTime now) {
  const auto found = members_.find(backend.id);
  if (found == members_.end())
    return;
  Member& member = found->second;
  if (const Division* share = ShareOf(member, StepOf(member, now), now)) {
    member.reserved_until = now + std::min<base::BootClock::duration>(
                                      IntervalOf(*share), kMaxReservation);
  }
}

bool ColdAllowance::TrySend(const BackendEntry& backend, base::BootTime now) {
  if (empty())
    return true;
  const auto found = members_.find(backend.id);
  if (found == members_.end())
    return true;
  Member& member = found->second;
  const std::size_t step = StepOf(member, now);
  if (step <= kGrowthSteps) {
    const Division* share = ShareOf(member, step, now);
    // Requests that were delayed after they were chosen keep the interval too.
    if (share == nullptr || now < member.last_sent_at + IntervalOf(*share))
      return false;
  }
  member.last_sent_at = now;
  return true;
}

void ColdAllowance::RemoveUnless(
    const std::function<bool(const base::BackendId&)>& is_listed) {
  for (auto it = members_.begin(); it != members_.end();)
    it = is_listed(it->first) ? std::next(it) : members_.erase(it);
}

std::vector<ColdAllowance::Change> ColdAllowance::TakeChanges(
    base::BootTime now) {
  for (auto& [id, member] : members_) {
    if (!member.cold_until || StepOf(member, now) <= kGrowthSteps)
      continue;
    member.cold_until.reset();
    AddChange(id, member, State::kWarm, Source::kTime, now);
  }
  return std::exchange(changes_, {});
}

bool ColdAllowance::NeedsCheck(const BackendEntry& backend,
                               base::BootTime opened_at,
                               base::BootTime now) const {
  const Terms* terms = FindTerms(backend.service);
  if (terms == nullptr || terms->cold_start.count() == 0)
    return false;
  const auto found = members_.find(backend.id);
  if (found == members_.end())
    return true;
  const Member& member = found->second;
  // The limit of a cold server holds whatever process answers.
  if (IsCold(member, now))
    return false;
  return !member.observed_until ||
         opened_at > *member.observed_until + kMinRestartTime;
}

milliseconds ColdAllowance::TimeUntilAdmitted(const BackendEntry& backend,
                                              base::BootTime now) const {
  const auto found = members_.find(backend.id);
  if (found == members_.end() || !found->second.cold_until)
    return milliseconds(0);
  const Member& member = found->second;
  for (std::size_t step = StepOf(member, now); step <= kGrowthSteps; ++step) {
    const Division* share = ShareOf(member, step, now);
    if (share == nullptr)
      continue;
    const base::BootTime step_begin =
        step == 0
            ? now
            : *member.cold_until + static_cast<base::BootClock::rep>(step - 1) *
                                       base::BootClock::duration(kGrowthStep);
    const base::BootTime at =
        std::max({now, step_begin, member.reserved_until,
                  member.last_sent_at + IntervalOf(*share)});
    const base::BootTime step_end =
        *member.cold_until + static_cast<base::BootClock::rep>(step) *
                                 base::BootClock::duration(kGrowthStep);
    if (at < step_end)
      return ceil<milliseconds>(at - now);
  }
  if (StepOf(member, now) > kGrowthSteps)
    return milliseconds(0);
  return ceil<milliseconds>(*member.cold_until + kGrowthSteps * kGrowthStep -
                            now);
}

std::size_t ColdAllowance::LimitedCount(base::BootTime now) const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [now](const auto& item) {
        return StepOf(item.second, now) <= kGrowthSteps;
      }));
}

const char* ToString(ColdAllowance::State state) {
  switch (state) {
    case ColdAllowance::State::kPossiblyCold:
      return "possibly_cold";
    case ColdAllowance::State::kCold:
      return "cold";
    case ColdAllowance::State::kWarm:
      return "warm";
  }
  return "unknown";
}

const char* ToString(ColdAllowance::Source source) {
  switch (source) {
    case ColdAllowance::Source::kEntry:
      return "registry_entry";
    case ColdAllowance::Source::kResponse:
      return "response";
    case ColdAllowance::Source::kHealthCheck:
      return "health_check";
    case ColdAllowance::Source::kUnanswered:
      return "health_check_unanswered";
    case ColdAllowance::Source::kConnectionLost:
      return "connection_lost";
    case ColdAllowance::Source::kEvacuation:
      return "evacuation";
    case ColdAllowance::Source::kTime:
      return "time";
  }
  return "unknown";
}

}  // namespace dandelionmill::scheduling
