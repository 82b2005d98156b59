#include "dandelionmill/gateway/service_versions.h"

#include <algorithm>
#include <iterator>

namespace dandelionmill::gateway {

void ServiceVersions::OnListed(const base::ServiceId& service,
                               const std::set<std::string>& versions,
                               base::MonoTime now) {
  for (const std::string& version : versions) {
    State& state = services_[service]
                       .try_emplace(version, State{now, now, false, {}, {}})
                       .first->second;
    // Others may have deleted the record of a version that was not listed.
    if (state.last_listed && now - *state.last_listed > kMemory)
      state.is_recorded = false;
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
      if (!is_missing && state.is_recorded)
        read.recorded_at = state.recorded_at;
      if (is_missing && !IsListed(state, now))
        services_[service].erase(found);
    }
  }
}

void ServiceVersions::OnRecorded(const std::vector<ServiceVersion>& recorded,
                                 std::optional<std::uint64_t> written_era,
                                 std::optional<std::uint64_t> era,
                                 base::MonoTime now) {
  // A restored store may lack what was written before.
  if (!AcceptsEra(era, now) || written_era != era)
    return;
  for (const ServiceVersion& name : recorded) {
    State& state = services_[name.service][name.version];
    state.is_recorded = true;
    state.recorded_at = now;
    state.era = era;
  }
}

bool ServiceVersions::AcceptsEra(std::optional<std::uint64_t> era,
                                 base::MonoTime now) {
  if (era && era_ && *era < *era_)
    return false;
  if (era && era_ && *era > *era_)
    OnStoreRestored(*era, now);
  era_ = era;
  return true;
}

void ServiceVersions::OnStoreRestored(std::uint64_t era, base::MonoTime now) {
  if (era_ && *era_ >= era)
    return;
  era_ = era;
  renewable_at_ = std::min(renewable_at_, now);
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

std::vector<ServiceVersion> ServiceVersions::Unrecorded(
    base::MonoTime now) const {
  std::vector<ServiceVersion> unrecorded;
  for (const auto& [service, versions] : services_) {
    for (const auto& [version, state] : versions) {
      const bool is_renewable = now >= renewable_at_ && state.era != era_;
      if (IsListed(state, now) && (!state.is_recorded || is_renewable))
        unrecorded.push_back({service, version});
    }
  }
  return unrecorded;
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
      if (now - state.last_listed.value_or(state.first_known) > kRetention)
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
      if (IsListed(state, now))
        versions.insert(version);
    }
  }
  if (versions.size() > 1)
    return Several();
  return Only{*versions.begin()};
}

}  // namespace dandelionmill::gateway
