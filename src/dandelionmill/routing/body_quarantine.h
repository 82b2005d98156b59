#ifndef SRC_DANDELIONMILL_ROUTING_BODY_QUARANTINE_H_
#define SRC_DANDELIONMILL_ROUTING_BODY_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/routing/quarantine_table.h"

namespace dandelionmill::routing {

// Keeps any one request body from crashing more than kMaxCrashes backend
// servers. A body that has never completed runs one copy at a time. After a
// crash, every body that was running on the server becomes a suspect: once the
// crash record has propagated to all routers, the router that ran the suspect
// reruns it on a backend server that no other suspect of that crash uses. A
// second crash therefore identifies exactly the body that caused it. Performs
// no I/O.
class BodyQuarantine {
 public:
  // Upper bound on the time a record takes to reach every connected router.
  static constexpr std::chrono::milliseconds kMaxPropagationDelay{250};
  // How long the router that reported a suspect has to rerun it before this
  // router may.
  static constexpr std::chrono::milliseconds kRemoteSuspectHold{10000};
  // How long a suspect waits for each earlier suspect assigned to the same
  // backend server.
  static constexpr std::chrono::milliseconds kTurnTimeout{5000};
  // Maximum number of completed bodies remembered as harmless.
  static constexpr std::size_t kMaxHarmless = 8192;

  // Whether and where a request body may run.
  struct Permission {
    enum class Kind { kRun, kWait, kRefuse };
    Kind kind = Kind::kRun;
    // If set, the only backend server that may run the body.
    std::optional<base::BackendId> required_backend;
  };

  // `router_id` must be unique in the fleet.
  explicit BodyQuarantine(std::string router_id)
      : router_id_(std::move(router_id)) {}

  // Commands. `body` is the SHA-256 of the request body; an empty one is exempt
  // from quarantine.

  // Sets how long the record of a crash is kept.
  void SetDuration(std::chrono::milliseconds duration) {
    quarantine_duration_ = duration;
  }
  void OnSent(const std::string& body, const base::BackendId& backend);
  void OnCrashed(const std::string& body, base::MonoTime now);
  void OnCompleted(const std::string& body);
  // The run ended otherwise, without evidence about the body.
  void OnInconclusive(const std::string& body);
  // Merges a record from another process.
  void Merge(const QuarantineRecord& record, base::MonoTime now);
  void Expire(base::MonoTime now);
  // Returns the records that changed since the last call, to be sent to other
  // processes.
  std::vector<QuarantineRecord> TakeChangedRecords();

  // Queries.
  // Returns whether the body may run now. `usable` holds the backend servers
  // that could run it once they have a free slot, sorted by id.
  Permission PermissionFor(const std::string& body,
                           const std::vector<base::BackendId>& usable,
                           base::MonoTime now) const;
  QuarantineStatus StatusOf(const std::string& body, base::MonoTime now) const;
  // Returns the time until the record of the body expires; 0 if there is none.
  std::chrono::milliseconds Remaining(const std::string& body,
                                      base::MonoTime now) const;
  const QuarantineTable& table() const { return table_; }

 private:
  Permission PermissionForSuspect(const std::string& body,
                                  const std::vector<base::BackendId>& usable,
                                  base::MonoTime now) const;

  const std::string router_id_;
  std::uint64_t last_run_ = 0;
  std::chrono::milliseconds quarantine_duration_{600000};
  QuarantineTable table_;
  // Bodies running through this router that are not known to be harmless.
  std::map<std::string, BodyRun> running_;
  // Time before which a suspect must not be rerun.
  std::map<std::string, base::MonoTime> held_until_;
  std::unordered_set<std::string> harmless_;
  // Insertion order of `harmless_`, oldest first.
  std::deque<std::string> harmless_order_;
  // Bodies whose records have changed since TakeChangedRecords().
  std::set<std::string> changed_;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_BODY_QUARANTINE_H_
