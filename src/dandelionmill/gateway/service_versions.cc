#include "dandelionmill/gateway/service_versions.h"

#include <algorithm>
#include <iterator>

namespace dandelionmill::gateway {

void ServiceVersions::OnListed(const base::ServiceId& service,
                               const std::set<std::string>& versions,
                               base::MonoTime now) {
  if (last_reading_ && now - *last_reading_ > kMaxReadingGap) {
    for (auto& [id, known] : services_) {
      for (auto& [version, state] : known) {
        if (state.last_listed)
          state.last_listed = now;
      }
    }
  }
  last_reading_ = now;
  const bool is_first = listed_services_.insert(service).second;
  for (const std::string& version : versions) {
    const auto [found, is_new] =
        services_[service].try_emplace(version, State());
    State& state = found->second;
    if (is_new)
      state.first_known = now;
    if (!is_first && !is_new && !IsListed(state, now)) {
      state.is_recorded = false;
      state.is_relisted = true;
    }
    state.last_listed = now;
  }
}

void ServiceVersions::OnRead(const std::vector<ServiceVersionRow>& rows,
                             std::optional<std::uint64_t> era,
                             base::MonoTime now) {
  if (!AcceptsEra(era, now))
    return;
  std::map<base::ServiceId, std::map<std::string, State>> known;
  known.swap(services_);
  for (const ServiceVersionRow& row : rows) {
    State& state = services_[row.name.service][row.name.version];
    state.first_known = now;
    state.is_recorded = true;
    state.recorded_at = now;
    state.era = row.era;
  }
  for (auto& [service, versions] : known) {
    for (auto& [version, state] : versions) {
      const auto [found, is_missing] =
          services_[service].try_emplace(version, State());
      State& read = found->second;
      read.last_listed = state.last_listed;
      read.first_known = state.first_known;
      read.is_relisted = state.is_relisted;
      read.is_recorded = read.is_recorded && !state.is_relisted;
      if (!is_missing && state.is_recorded)
        read.recorded_at = state.recorded_at;
      if (is_missing && !IsListed(state, now))
        services_[service].erase(found);
    }
  }
}

void ServiceVersions::OnRecorded(const std::vector<ServiceVersionRow>& rows,
                                 std::optional<std::uint64_t> sent_in,
                                 std::optional<std::uint64_t> era,
                                 base::MonoTime now) {
  // A restored store may lack what was written before.
  if (!AcceptsEra(era, now) || sent_in != era)
    return;
  for (const ServiceVersionRow& row : rows) {
    State& state = services_[row.name.service][row.name.version];
    state.is_recorded = true;
    state.is_relisted = false;
    state.recorded_at = now;
    state.era = row.era;
  }
}

bool ServiceVersions::AcceptsEra(std::optional<std::uint64_t> era,
                                 base::MonoTime now) {
  if (era && era_ && *era < *era_)
    return false;
  if (era && era_ && *era > *era_)
    OnStoreRestored(*era, now);
  // It is not known how long ago the first known era began.
  if (era && !era_)
    renewable_at_ = std::max(renewable_at_, now + kMemory);
  era_ = era;
  return true;
}

void ServiceVersions::OnStoreRestored(std::uint64_t era, base::MonoTime now) {
  if (era_ && *era_ >= era)
    return;
  era_ = era;
  renewable_at_ = std::max(renewable_at_, now + kMemory);
  for (auto& [service, versions] : services_) {
    for (auto& [version, state] : versions) {
      // Copies are some seconds old.
      if (now - state.recorded_at < kRetention)
        state.is_recorded = false;
      state.era.reset();
    }
  }
}

bool ServiceVersions::IsRecorded(const base::ServiceId& service,
                                 const std::string& version) const {
  const auto found = services_.find(service);
  if (found == services_.end())
    return false;
  const auto state = found->second.find(version);
  return state != found->second.end() && state->second.is_recorded;
}

std::vector<ServiceVersionRow> ServiceVersions::Unrecorded(
    base::MonoTime now) const {
  std::vector<ServiceVersionRow> unrecorded;
  for (const auto& [service, versions] : services_) {
    const bool is_any_current =
        std::any_of(versions.begin(), versions.end(), [this](const auto& item) {
          return item.second.is_recorded && item.second.era == era_;
        });
    const bool is_renewable = now >= renewable_at_;
    const std::optional<std::uint64_t> era =
        is_renewable || is_any_current ? era_ : std::nullopt;
    for (const auto& [version, state] : versions) {
      const bool is_missing = IsListed(state, now) && !state.is_recorded;
      const bool is_outdated =
          is_renewable && state.era != era_ && !IsExpired(state, now);
      if (is_missing || is_outdated)
        unrecorded.push_back({{service, version}, era});
    }
  }
  return unrecorded;
}

bool ServiceVersions::NeedsStreamRows(const base::ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.size() != 1)
    return true;
  const State& state = found->second.begin()->second;
  return !state.is_recorded || state.era != era_;
}

bool ServiceVersions::IsMixed(const base::ServiceId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.size() > 1;
}

std::vector<base::ServiceId> ServiceVersions::MixedServices() const {
  std::vector<base::ServiceId> mixed;
  for (const auto& [service, versions] : services_) {
    if (versions.size() > 1)
      mixed.push_back(service);
  }
  return mixed;
}

std::vector<ServiceVersion> ServiceVersions::Expired(base::MonoTime now) const {
  std::vector<ServiceVersion> expired;
  for (const auto& [service, versions] : services_) {
    const bool is_any_listed = std::any_of(
        versions.begin(), versions.end(),
        [now](const auto& item) { return IsListed(item.second, now); });
    if (!is_any_listed)
      continue;
    for (const auto& [version, state] : versions) {
      if (IsExpired(state, now))
        expired.push_back({service, version});
    }
  }
  return expired;
}

ServiceVersions::Judgement ServiceVersions::Judge(
    const base::ServiceId& service,
    const std::vector<ServiceVersionRow>& rows,
    std::optional<std::uint64_t> era,
    base::MonoTime now) const {
  std::set<std::string> versions;
  bool is_of_era = true;
  for (const ServiceVersionRow& row : rows) {
    if (row.name.service.value() != service.value())
      continue;
    versions.insert(row.name.version);
    is_of_era = is_of_era && row.era == era;
  }
  if (versions.empty() || !is_of_era)
    return Incomplete();
  if (const auto found = services_.find(service); found != services_.end()) {
    for (const auto& [version, state] : found->second) {
      // A row that is about to be written.
      if (IsListed(state, now) && versions.count(version) == 0)
        return Incomplete();
    }
  }
  if (versions.size() > 1)
    return Several();
  return Only{*versions.begin()};
}

}  // namespace dandelionmill::gateway
