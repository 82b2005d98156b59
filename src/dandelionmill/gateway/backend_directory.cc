#include "dandelionmill/gateway/backend_directory.h"

#include <set>

namespace dandelionmill::gateway {

void BackendDirectory::Put(const BackendEntry& entry) {
  Member& member = members_[entry.id];
  member.entry = entry;
  member.expires_at.reset();
}

void BackendDirectory::Remove(const base::BackendId& id, base::MonoTime now) {
  const auto found = members_.find(id);
  if (found == members_.end())
    return;
  const bool may_be_lost_in_outage =
      earliest_outage_end_ &&
      now < *earliest_outage_end_ + kReregistrationGrace;
  if (!may_be_lost_in_outage || found->second.entry.draining) {
    members_.erase(found);
    return;
  }
  found->second.expires_at = *earliest_outage_end_ + kReregistrationGrace;
}

void BackendDirectory::Replace(const std::vector<BackendEntry>& entries,
                               base::MonoTime now) {
  std::set<base::BackendId> present;
  for (const BackendEntry& entry : entries) {
    Put(entry);
    present.insert(entry.id);
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
      it = members_.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

std::vector<const BackendEntry*> BackendDirectory::Usable(
    const base::ServiceId& service,
    base::MonoTime now) const {
  std::vector<const BackendEntry*> usable;
  for (const auto& [id, member] : members_) {
    const bool has_expired = member.expires_at && *member.expires_at <= now;
    if (member.entry.service == service && !member.entry.draining &&
        !has_expired)
      usable.push_back(&member.entry);
  }
  return usable;
}

const BackendEntry* BackendDirectory::Find(const base::BackendId& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second.entry;
}

}  // namespace dandelionmill::gateway
