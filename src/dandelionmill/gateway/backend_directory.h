#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/backend_process.h"

namespace dandelionmill::gateway {

// The backend servers that may receive new requests, as listed in the registry.
// While the registry is unreachable, the last known entries stay usable.
// Entries that are missing when it is reachable again stay usable for
// kReregistrationGrace, since a running backend server writes its entry again.
// A backend server that leaves does not become usable again by an older entry,
// which a store that was restored from a copy may list, nor by any entry of the
// same start once it has said itself that it leaves. Pure.
class BackendDirectory {
 public:
  // How long after a registry outage a backend server with a missing entry
  // stays usable. Running ones register again within about 2 s; one that was
  // removed must receive no requests after 2.5 s.
  static constexpr std::chrono::milliseconds kReregistrationGrace{2200};
  // How long a backend server that left stays unusable if a restored registry
  // lists it again. The store removes the entry within that time unless the
  // server writes to it: three heartbeat intervals and some delay.
  static constexpr std::chrono::milliseconds kProofTime{5000};
  // How long it is remembered that a backend server has left; longer than the
  // age of any copy from which the store is restored.
  static constexpr std::chrono::seconds kDepartureMemory{60};

  // Commands.
  // Adds or replaces an entry.
  void Put(const BackendEntry& entry);
  // Removes an entry that was deleted or cannot be decoded. Shortly after an
  // outage it only expires, unless it was draining.
  void Remove(const base::BackendId& id, base::MonoTime now);
  // Removes an entry whose address now belongs to another server. It is usable
  // again once the entry is rewritten.
  void Discard(const base::BackendId& id) { members_.erase(id); }
  // A process of a backend server has said that it leaves. Returns whether that
  // is new.
  bool OnLeaving(const base::BackendId& id,
                 const BackendProcess& process,
                 base::MonoTime now);
  // Replaces the whole content after a full read of the registry.
  void Replace(const std::vector<BackendEntry>& entries, base::MonoTime now);
  // The registry is reachable again. `last_unreachable_at` is the latest time
  // at which it was known to be unreachable.
  void OnOutageEnded(base::MonoTime last_unreachable_at) {
    earliest_outage_end_ =
        std::max(earliest_outage_end_.value_or(last_unreachable_at),
                 last_unreachable_at);
  }
  // The store was restored from an older copy, not before
  // `last_unreachable_at`. Entries of the next full read may be older than what
  // is known.
  void OnStoreRestored(base::MonoTime last_unreachable_at) {
    OnOutageEnded(last_unreachable_at);
    is_next_read_restored_ = true;
  }
  // All changes of the registry before `as_of` have been put here.
  void OnCurrent(base::BootTime as_of) { as_of_ = as_of; }
  // Removes entries whose grace period is over, and returns their ids. Forgets
  // leaves that have turned out to be those of earlier processes.
  std::vector<base::BackendId> Expire(base::MonoTime now);

  // Queries.
  // Returns the backend servers of `service` that may receive new requests,
  // ordered by id. The pointers are valid until the next command.
  std::vector<const BackendEntry*> Usable(const base::ServiceId& service,
                                          base::MonoTime now) const;
  // Returns the backend server if it may receive new requests, else nullptr.
  const BackendEntry* FindUsable(const base::BackendId& id,
                                 base::MonoTime now) const;
  // Whether the listed process of the backend server has said that it leaves.
  // Until its entry has been listed as ready for kProofTime, it counts that a
  // process that may be the listed one has said so.
  bool IsLeaving(const BackendEntry& entry) const;
  // Returns the software versions of the listed backend servers by service.
  std::map<base::ServiceId, std::set<std::string>> ListedVersions() const;
  // Returns nullptr for an unknown id. Valid until the next command.
  const BackendEntry* Find(const base::BackendId& id) const;
  // The same, or the last entry of a backend server that has left.
  const BackendEntry* FindLast(const base::BackendId& id) const;
  std::size_t size() const { return members_.size(); }
  // The time up to which the registry is known; the epoch before the first
  // read.
  base::BootTime as_of() const { return as_of_; }

 private:
  struct Member {
    BackendEntry entry;
    // Set while the entry is missing from the registry: when it is removed.
    std::optional<base::MonoTime> expires_at;
    // Set while the entry may be one of a server that left: when it is usable.
    std::optional<base::MonoTime> usable_at;
  };
  struct Departure {
    BackendEntry last_entry;
    base::MonoTime expires_at;
  };

  struct Leave {
    BackendProcess process;
    // Not forgotten before, nor while the backend server is listed.
    base::MonoTime expires_at;
    // The time up to which the registry was known when it listed another start,
    // which may be that of the process; not set while it lists none.
    std::optional<base::BootTime> relisted_as_of;
  };

  void Erase(const base::BackendId& id, base::MonoTime now);
  bool IsUsable(const Member& member, base::MonoTime now) const;
  // Notes whether the registry has listed another start as ready for long
  // enough to show that it is not the one that leaves.
  void UpdateLeave(const base::BackendId& id, Leave& leave);
  // Returns the last entry of this start of the backend server, if it is or was
  // listed.
  const BackendEntry* LastEntry(const BackendEntry& entry) const;
  // Whether an entry of a restored registry is older than what is known.
  bool IsOutdated(const BackendEntry& restored) const;

  std::map<base::BackendId, Member> members_;
  std::map<base::BackendId, Departure> departures_;
  // Backend servers that have said that they leave.
  std::map<base::BackendId, Leave> leaves_;
  base::BootTime as_of_{};
  bool is_next_read_restored_ = false;
  // Lower bound of the time at which the last outage ended; not set before the
  // first outage.
  std::optional<base::MonoTime> earliest_outage_end_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_
