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
  // How long a backend server whose entry is missing after an outage of the
  // registry stays usable. Living ones are back within about two seconds.
  static constexpr std::chrono::milliseconds kReturnTime{1900};
  // How long after an outage missing entries may be due to it.
  static constexpr std::chrono::milliseconds kOutageEffect{3000};

  // Commands.
  // An entry is new or has changed.
  void Put(const BackendEntry& entry);
  // An entry was deleted, or its content names no backend server.
  void Remove(const base::BackendId& id, base::MonoTime now);
  // These entries exist and no others.
  void Replace(const std::vector<BackendEntry>& entries, base::MonoTime now);
  // The registry stopped or started to answer.
  void SetReachable(bool reachable, base::MonoTime now);
  // Forgets lapsed entries whose time is over. Returns their ids.
  std::vector<base::BackendId> Expire(base::MonoTime now);

  // Queries.
  // Returns the backend servers of `service` that may get new work, in the
  // order of their ids. Valid until the next command.
  std::vector<const BackendEntry*> Usable(const base::ServiceId& service) const;
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
  bool is_reachable_ = true;
  // When the last outage ended; none so far when not set.
  std::optional<base::MonoTime> outage_ended_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_DIRECTORY_H_
