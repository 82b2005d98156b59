#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"

namespace dandelionmill::gateway {

// The backend servers that may get new work, as the registry names them. While
// the registry is out of reach what was known stays usable; entries that it has
// lost meanwhile stay so for a short time after its return, since a living
// backend server writes its entry again. Pure.
class BackendDirectory {
 public:
  // How long after the end of an outage of the registry a backend server whose
  // entry is missing stays usable. Living ones are back within about two
  // seconds; one that has left must get nothing after two and a half.
  static constexpr std::chrono::milliseconds kReturnTime{2200};

  // Commands.
  // An entry is new or has changed.
  void Put(const BackendEntry& entry);
  // An entry was deleted, or its content names no backend server.
  void Remove(const base::BackendId& id, base::MonoTime now);
  // The entry has proved wrong: another server has its address. It is used
  // again once it changes.
  void Discard(const base::BackendId& id) { members_.erase(id); }
  // These entries exist and no others.
  void Replace(const std::vector<BackendEntry>& entries, base::MonoTime now);
  // The registry started to answer again; it was still away at `away_at`.
  void OnOutageEnded(base::MonoTime away_at) { outage_ended_ = away_at; }
  // Forgets lapsed entries whose time is over. Returns their ids.
  std::vector<base::BackendId> Expire(base::MonoTime now);

  // Queries.
  // Returns the backend servers of `service` that may get new work, in the
  // order of their ids. Valid until the next command.
  std::vector<const BackendEntry*> Usable(const base::ServiceId& service,
                                          base::MonoTime now) const;
  // Returns nullptr when the id is not known.
  const BackendEntry* Find(const base::BackendId& id) const;
  std::size_t size() const { return members_.size(); }

 private:
  struct Member {
    BackendEntry entry;
    // Set while the entry is missing: when it is taken as gone.
    std::optional<base::MonoTime> lapses_at;
  };

  std::map<base::BackendId, Member> members_;
  // When the last outage ended, at the earliest; none so far when not set.
  std::optional<base::MonoTime> outage_ended_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_
