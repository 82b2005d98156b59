#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"

namespace dandelionmill::gateway {

// The backend servers that may receive new requests, as listed in the registry.
// While the registry is unreachable, the last known entries stay usable.
// Entries that are missing when it is reachable again stay usable for
// kReregistrationGrace, since a running backend server writes its entry again.
// Pure.
class BackendDirectory {
 public:
  // How long after a registry outage a backend server with a missing entry
  // stays usable. Running ones register again within about 2 s; one that was
  // removed must receive no requests after 2.5 s.
  static constexpr std::chrono::milliseconds kReregistrationGrace{2200};

  // Commands.
  // Adds or replaces an entry.
  void Put(const BackendEntry& entry);
  // Removes an entry that was deleted or cannot be decoded. Shortly after an
  // outage it only expires, unless it was draining.
  void Remove(const base::BackendId& id, base::MonoTime now);
  // Removes an entry whose address now belongs to another server. It is usable
  // again once the entry is rewritten.
  void Discard(const base::BackendId& id) { members_.erase(id); }
  // Replaces the whole content after a full read of the registry.
  void Replace(const std::vector<BackendEntry>& entries, base::MonoTime now);
  // The registry is reachable again. `last_unreachable_at` is the latest time
  // at which it was known to be unreachable.
  void OnOutageEnded(base::MonoTime last_unreachable_at) {
    earliest_outage_end_ = last_unreachable_at;
  }
  // Removes entries whose grace period is over. Returns their ids.
  std::vector<base::BackendId> Expire(base::MonoTime now);

  // Queries.
  // Returns the backend servers of `service` that may receive new requests,
  // ordered by id. The pointers are valid until the next command.
  std::vector<const BackendEntry*> Usable(const base::ServiceId& service,
                                          base::MonoTime now) const;
  // Returns nullptr for an unknown id. Valid until the next command.
  const BackendEntry* Find(const base::BackendId& id) const;
  std::size_t size() const { return members_.size(); }

 private:
  struct Member {
    BackendEntry entry;
    // Set while the entry is missing from the registry: when it is removed.
    std::optional<base::MonoTime> expires_at;
  };

  std::map<base::BackendId, Member> members_;
  // Lower bound of the time at which the last outage ended; not set before the
  // first outage.
  std::optional<base::MonoTime> earliest_outage_end_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_
