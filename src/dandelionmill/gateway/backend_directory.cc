#include "dandelionmill/gateway/backend_directory.h"

#include <set>

namespace dandelionmill::gateway {

void BackendDirectory::Put(const BackendEntry& entry) {
  Member& member = members_[entry.id];
  member.entry = entry;
  member.lapses_at.reset();
}

void BackendDirectory::Remove(const base::BackendId& id, base::MonoTime now) {
  const auto found = members_.find(id);
  if (found == members_.end())
    return;
  const bool outage_may_be_why =
      outage_ended_ && now < *outage_ended_ + kReturnTime;
  if (!outage_may_be_why || found->second.entry.draining) {
    members_.erase(found);
    return;
  }
  found->second.lapses_at = *outage_ended_ + kReturnTime;
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
  std::vector<base::BackendId> gone;
  for (auto at = members_.begin(); at != members_.end();) {
    if (at->second.lapses_at && *at->second.lapses_at <= now) {
      gone.push_back(at->first);
      at = members_.erase(at);
    } else {
      ++at;
    }
  }
  return gone;
}

std::vector<const BackendEntry*> BackendDirectory::Usable(
    const base::ServiceId& service,
    base::MonoTime now) const {
  std::vector<const BackendEntry*> usable;
  for (const auto& [id, member] : members_) {
    const bool has_lapsed = member.lapses_at && *member.lapses_at <= now;
    if (member.entry.service == service && !member.entry.draining &&
        !has_lapsed)
      usable.push_back(&member.entry);
  }
  return usable;
}

const BackendEntry* BackendDirectory::Find(const base::BackendId& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second.entry;
}

}  // namespace dandelionmill::gateway
