#ifndef SRC_DANDELIONMILL_ROUTING_QUARANTINE_TABLE_H_
#define SRC_DANDELIONMILL_ROUTING_QUARANTINE_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::routing {

// Number of crashes after which a request body is no longer dispatched.
inline constexpr int kMaxCrashes = 2;

// Quarantine status of a request body.
enum class QuarantineStatus {
  kClean,
  // A backend server crashed while running this body, possibly among others.
  kSuspect,
  kQuarantined,
};

// One run of a request body on a backend server.
struct BodyRun {
  base::BackendId backend;
  // Router id and sequence number of the run; unique in the fleet.
  std::string run;

  friend bool operator<(const BodyRun& a, const BodyRun& b) {
    return std::tie(a.backend, a.run) < std::tie(b.backend, b.run);
  }
  friend bool operator==(const BodyRun& a, const BodyRun& b) {
    return a.backend == b.backend && a.run == b.run;
  }
};

// The crashes of one request body.
struct QuarantineRecord {
  std::string body_sha256;
  // Runs during which the backend server crashed. If two routers run the body
  // on the server that crashes, the crash counts twice: the count may be too
  // high but never too low.
  std::set<BodyRun> crashed;
  // Runs in progress when their router received the record of the first crash.
  std::set<BodyRun> in_progress;
  // Runs of either set that did not cause a crash: the run ended otherwise, or
  // the body has completed since.
  std::set<BodyRun> cleared;
  // Expiry time of the record.
  base::MonoTime expires_at;
};

// The request bodies that crashed backend servers, replicated on every router
// and control. Records are merged by union, so they may arrive late, repeatedly
// and in any order (a two-phase set; Shapiro et al., 2011). Performs no I/O.
class QuarantineTable {
 public:
  // Commands. Those returning bool return whether the record has changed and
  // must be sent to other processes.
  bool AddCrash(const std::string& body_sha256,
                const BodyRun& run,
                base::MonoTime expires_at);
  // Ignored unless the body has a crash record.
  bool AddInProgress(const std::string& body_sha256, const BodyRun& run);
  // Records that a run in progress ended without a crash.
  bool ClearRun(const std::string& body_sha256, const BodyRun& run);
  // Records that the body has completed and so caused none of its crashes.
  bool Clear(const std::string& body_sha256);
  bool Merge(const QuarantineRecord& record);
  // Removes expired records.
  void Expire(base::MonoTime now);

  // Queries.
  QuarantineStatus StatusOf(const std::string& body_sha256,
                            base::MonoTime now) const;
  // Returns nullptr if the body has no record.
  const QuarantineRecord* Find(const std::string& body_sha256) const;
  // Returns all records, including `record`, that share a crashed backend
  // server with `record`, sorted by digest.
  std::vector<const QuarantineRecord*> WithSameBackend(
      const QuarantineRecord& record) const;
  const std::map<std::string, QuarantineRecord>& records() const {
    return records_;
  }

 private:
  std::map<std::string, QuarantineRecord> records_;
};

// Returns the status of `record`, disregarding its expiry time.
QuarantineStatus StatusOf(const QuarantineRecord& record);

// Returns the runs in progress that are not known to have ended.
std::vector<BodyRun> OpenRuns(const QuarantineRecord& record);

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_QUARANTINE_TABLE_H_
