#include "dandelionmill/gateway/backend_directory.h"

#include <iterator>
#include <set>
#include <utility>

namespace dandelionmill::gateway {

void BackendDirectory::Put(const BackendEntry& entry) {
  const BackendEntry* last = LastEntry(entry);
  const bool is_draining =
      entry.draining || (last != nullptr && last->draining);
  const BackendEntry* known = FindLast(entry.id);
  const base::BootTime unlisted_until =
      known != nullptr && known->incarnation == entry.incarnation
          ? known->unlisted_until
          : as_of_;
  Member& member = members_[entry.id];
  member.entry = entry;
  member.entry.draining = is_draining;
  member.entry.unlisted_until = unlisted_until;
  member.expires_at.reset();
  member.usable_at.reset();
}

const BackendEntry* BackendDirectory::LastEntry(
    const BackendEntry& entry) const {
  const BackendEntry* last = FindLast(entry.id);
  const bool is_same_start = last != nullptr && entry.incarnation != 0 &&
                             last->incarnation == entry.incarnation;
  return is_same_start ? last : nullptr;
}

bool BackendDirectory::IsOutdated(const BackendEntry& restored) const {
  const BackendEntry* known = Find(restored.id);
  if (known != nullptr)
    return restored.incarnation < known->incarnation;
  const BackendEntry* last = LastEntry(restored);
  return last != nullptr && restored.change_count <= last->change_count;
}

void BackendDirectory::Erase(const base::BackendId& id, base::MonoTime now) {
  const auto found = members_.find(id);
  departures_[id] = {found->second.entry, now + kDepartureMemory};
  members_.erase(found);
}

void BackendDirectory::Remove(const base::BackendId& id, base::MonoTime now) {
  const auto found = members_.find(id);
  if (found == members_.end())
    return;
  const bool may_be_lost_in_outage =
      earliest_outage_end_ &&
      now < *earliest_outage_end_ + kReregistrationGrace;
  if (!may_be_lost_in_outage || found->second.entry.draining) {
    Erase(id, now);
    return;
  }
  found->second.expires_at = *earliest_outage_end_ + kReregistrationGrace;
}

bool BackendDirectory::OnLeaving(const base::BackendId& id,
                                 const BackendProcess& process,
                                 base::MonoTime now) {
  const auto [leave, is_new] = leaves_.try_emplace(id);
  const bool has_changed = is_new || !leave->second.process.IsSameAs(process);
  leave->second = {process, now + kDepartureMemory, std::nullopt};
  return has_changed;
}

void BackendDirectory::UpdateLeave(const base::BackendId& id, Leave& leave) {
  const BackendEntry* entry = Find(id);
  if (entry == nullptr || leave.process.IsOf(*entry) ||
      !leave.process.MayBeOf(*entry))
    return;
  if (!leave.relisted_as_of)
    leave.relisted_as_of = as_of_;
  // The entry of a server that leaves is removed or says so by then.
  if (as_of_ >= *leave.relisted_as_of + kProofTime)
    leave.process.reported = leave.process.listed;
}

bool BackendDirectory::IsLeaving(const BackendEntry& entry) const {
  const auto leave = leaves_.find(entry.id);
  return leave != leaves_.end() && leave->second.process.MayBeOf(entry);
}

void BackendDirectory::Replace(const std::vector<BackendEntry>& entries,
                               base::MonoTime now) {
  const bool is_restored = std::exchange(is_next_read_restored_, false);
  std::set<base::BackendId> present;
  for (const BackendEntry& entry : entries) {
    present.insert(entry.id);
    const bool is_outdated = is_restored && IsOutdated(entry);
    if (is_outdated && Find(entry.id) != nullptr)
      continue;
    Put(entry);
    if (is_outdated)
      members_[entry.id].usable_at = now + kProofTime;
  }
  std::vector<base::BackendId> missing;
  for (const auto& [id, member] : members_) {
    if (present.count(id) == 0)
      missing.push_back(id);
  }
  for (const base::BackendId& id : missing)
    Remove(id, now);
}

std::vector<base::BackendId> BackendDirectory::Expire(base::MonoTime now) {
  std::vector<base::BackendId> expired;
  for (auto it = members_.begin(); it != members_.end();) {
    if (it->second.expires_at && *it->second.expires_at <= now) {
      expired.push_back(it->first);
    }
    ++it;
  }
  for (const base::BackendId& id : expired)
    Erase(id, now);
  for (auto it = departures_.begin(); it != departures_.end();)
    it = it->second.expires_at <= now ? departures_.erase(it) : std::next(it);
  for (auto it = leaves_.begin(); it != leaves_.end();) {
    UpdateLeave(it->first, it->second);
    const bool is_over =
        it->second.expires_at <= now && members_.count(it->first) == 0;
    it = is_over ? leaves_.erase(it) : std::next(it);
  }
  return expired;
}

bool BackendDirectory::IsUsable(const Member& member,
                                base::MonoTime now) const {
  const bool has_expired = member.expires_at && *member.expires_at <= now;
  const bool is_unproven = member.usable_at && now < *member.usable_at;
  return !member.entry.draining && !has_expired && !is_unproven &&
         !IsLeaving(member.entry);
}

std::vector<const BackendEntry*> BackendDirectory::Usable(
    const base::ServiceId& service,
    base::MonoTime now) const {
  std::vector<const BackendEntry*> usable;
  for (const auto& [id, member] : members_) {
    if (member.entry.service == service && IsUsable(member, now))
      usable.push_back(&member.entry);
  }
  return usable;
}

const BackendEntry* BackendDirectory::FindUsable(const base::BackendId& id,
                                                 base::MonoTime now) const {
  const auto found = members_.find(id);
  return found == members_.end() || !IsUsable(found->second, now)
             ? nullptr
             : &found->second.entry;
}

std::map<base::ServiceId, std::set<std::string>>
BackendDirectory::ListedVersions() const {
  std::map<base::ServiceId, std::set<std::string>> versions;
  for (const auto& [id, member] : members_)
    versions[member.entry.service].insert(member.entry.software_version);
  return versions;
}

const BackendEntry* BackendDirectory::Find(const base::BackendId& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second.entry;
}

const BackendEntry* BackendDirectory::FindLast(
    const base::BackendId& id) const {
  if (const BackendEntry* entry = Find(id))
    return entry;
  const auto departure = departures_.find(id);
  return departure == departures_.end() ? nullptr
                                        : &departure->second.last_entry;
}

}  // namespace dandelionmill::gateway
