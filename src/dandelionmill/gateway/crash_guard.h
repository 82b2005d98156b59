#ifndef SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_
#define SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Detects requests that crash the backend servers that run them. A broken
// attempt counts as a crash if the backend server refuses connections soon
// afterwards. A request that was running during crashes of two backend servers
// is quarantined. Instances exchange their crash reports through the store.
// Pure.
class CrashGuard {
 public:
  // Crashes of distinct backend servers after which a request is quarantined.
  static constexpr std::size_t kQuarantineCrashCount = 2;
  // Longest time between a broken attempt and the refused connection that
  // confirms a crash.
  static constexpr std::chrono::milliseconds kCrashDetectionWindow{600};
  // How long a record is kept after its last crash.
  static constexpr std::chrono::minutes kRecordLifetime{10};

  // Request `digest` was running when `backend` crashed.
  struct Report {
    std::string digest;
    base::BackendId backend;
  };

  // Commands.
  // An attempt broke off without a complete response. `digest` identifies the
  // request by its account, path and body.
  void OnAttemptBroken(const std::string& digest,
                       const base::BackendId& backend,
                       base::MonoTime now);
  // A connection attempt to the backend server was refused.
  void OnConnectionRefused(const base::BackendId& backend, base::MonoTime now);
  // The request ran to completion, so it does not crash backend servers.
  void OnCompleted(const std::string& digest);
  // Adds a report of another instance.
  void MergeReport(const Report& report, base::MonoTime now);
  // Returns the reports to send to other instances and clears them.
  std::vector<Report> TakeReports();
  // Removes broken attempts and records that are too old.
  void Expire(base::MonoTime now);

  // Queries.
  bool IsQuarantined(const std::string& digest) const;
  // Number of requests with at least one recorded crash.
  std::size_t suspect_count() const { return records_.size(); }

 private:
  struct BrokenAttempt {
    std::string digest;
    base::BackendId backend;
    base::MonoTime broken_at;
  };
  struct Record {
    std::set<base::BackendId> crashed_backends;
    base::MonoTime expires_at;
  };

  std::deque<BrokenAttempt> broken_attempts_;
  std::map<std::string, Record> records_;
  std::vector<Report> reports_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_
