#ifndef SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_
#define SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/request_metadata.h"

namespace dandelionmill::gateway {

// What a request shares with other requests that crash backend servers in the
// same way.
struct CrashTraits {
  // Identifies the account, path and body.
  std::string digest;
  // Ids of the prompt parts that requests share.
  std::vector<std::string> parts;
};

// Returns the ids of the parts that a prompt shares with others: all except the
// last. Ids that are long or have unusual characters are replaced by a hash.
std::vector<std::string> SharedPartIds(const std::vector<PromptPart>& parts);

// Detects requests and prompt parts that crash the backend servers that run
// them. A broken attempt counts as a crash if soon afterwards the backend
// server refuses connections or another start of it answers. A request that was
// running during crashes of two backend servers is quarantined. So is a prompt
// part whose requests were running during several crashes, while none with it
// was answered; crashes that a quarantined part explains do not count against
// anything else. Instances exchange their reports through the store. Pure.
class CrashGuard {
 public:
  // Crashes of distinct backend servers after which a request is quarantined.
  static constexpr std::size_t kQuarantineCrashCount = 2;
  // The same for a prompt part that has never been answered, if no other such
  // part was involved in as many crashes.
  static constexpr std::size_t kPartCrashCount = 3;
  // The same for any prompt part. Popular parts are involved in many crashes by
  // chance, but requests with them are answered in between.
  static constexpr std::size_t kMaxPartCrashCount = 5;
  // Of these crashes, those by requests that were sent when the part was a
  // suspect already. Servers that fail together for another reason do not
  // repeat the crash for requests that are sent afterwards.
  static constexpr std::size_t kRepeatedCrashCount = 1;
  static constexpr std::size_t kMaxRepeatedCrashCount = 3;
  // A response that has arrived for this long does not crash its backend server
  // by the prompt, which takes effect when the answer begins.
  static constexpr std::chrono::milliseconds kAnsweringProof{500};
  // Longest time between a broken attempt and the connection that confirms a
  // crash.
  static constexpr std::chrono::milliseconds kCrashDetectionWindow{600};
  // How long a record is kept after its last crash.
  static constexpr std::chrono::minutes kRecordLifetime{10};

  // An attempt that broke off without a complete response.
  struct BrokenAttempt {
    CrashTraits traits;
    base::BackendId backend;
    base::MonoTime sent_at{};
    // The response had been arriving for kAnsweringProof.
    bool was_answering = false;
    base::MonoTime broken_at{};
    // The start of the backend server that ran it, as far as known.
    std::int64_t incarnation = 0;
  };

  // The requests and prompt parts that one instance saw running when `backend`
  // crashed.
  struct Report {
    struct Part {
      std::string id;
      // The request was sent when the part was a suspect already.
      bool is_repeated = false;
    };
    base::BackendId backend;
    std::vector<std::string> digests;
    std::vector<Part> parts;
  };

  // This instance saw an answer to a request with a suspected part.
  struct Clearance {
    std::string part;
    // The answer came after the crashes, which therefore do not count. An
    // earlier answer only raises the number of crashes that are required.
    bool is_after_crashes = true;
  };

  // Crashes from which on an answer to a suspected part is shared in a fleet of
  // more than kPromptInstances. Fewer never lead to a quarantine.
  static constexpr std::size_t kSharedSuspicionCrashCount = 2;
  // Instances of the fleet that share an answer at once, on average. The others
  // wait for a time within these bounds and then share only what is new: an
  // answer to a popular part arrives at all of them.
  static constexpr int kPromptInstances = 12;
  static constexpr std::chrono::milliseconds kMinShareDelay{1000};
  static constexpr std::chrono::milliseconds kMaxShareDelay{3000};

  // `seed` must differ between the instances.
  explicit CrashGuard(std::uint64_t seed = 0) : random_(seed) {}

  // Commands.
  // Sets the number of live instances of the fleet, including this one.
  void SetInstanceCount(int instances) { instances_ = instances; }
  void OnAttemptBroken(BrokenAttempt attempt);
  // A connection attempt to the backend server was refused.
  void OnConnectionRefused(const base::BackendId& backend, base::MonoTime now);
  // Another start of the backend server than `incarnation` answers.
  void OnRestarted(const base::BackendId& backend,
                   std::int64_t incarnation,
                   base::MonoTime now);
  // The backend server is running: what broke off there was not a crash.
  void OnReachable(const base::BackendId& backend);
  // The request ran to completion, so neither it nor its prompt parts crash
  // backend servers.
  void OnCompleted(const CrashTraits& traits, base::MonoTime now);
  // The response has been arriving for kAnsweringProof.
  void OnAnswering(const CrashTraits& traits, base::MonoTime now);
  // Adds a report of another instance. `version` orders reports and clearances.
  void MergeReport(const Report& report,
                   std::uint64_t version,
                   base::MonoTime now);
  // Adds a clearance of another instance, which applies to the reports before
  // `version`.
  void MergeClearance(const Clearance& clearance, std::uint64_t version);
  // Return what to send to other instances now, and clear it.
  std::vector<Report> TakeReports();
  std::vector<Clearance> TakeClearances(base::MonoTime now);
  // Returns the parts that were quarantined since the last call, for logs.
  std::vector<std::string> TakeQuarantinedParts();
  // Removes broken attempts and records that are too old.
  void Expire(base::MonoTime now);

  // Queries.
  // Whether an attempt at the backend server broke off of late, so that a
  // refused connection is evidence of a crash.
  bool HasBrokenAttempt(const base::BackendId& backend,
                        base::MonoTime now) const;
  // Whether the request has crashed backend servers by itself.
  bool IsQuarantined(const CrashTraits& traits) const;
  // Returns the prompt part by which the request is quarantined, if any.
  std::optional<std::string> FindQuarantinedPart(
      const CrashTraits& traits) const;
  // Number of requests with at least one recorded crash.
  std::size_t suspect_count() const { return digests_.size(); }

 private:
  struct DigestRecord {
    std::set<base::BackendId> crashed_backends;
    base::MonoTime expires_at;
  };
  struct PartCrash {
    bool is_repeated = false;
    // 0 for a crash that this instance saw itself.
    std::uint64_t version = 0;
  };
  struct PartRecord {
    std::map<base::BackendId, PartCrash> crashes;
    base::MonoTime suspected_since{};
    base::MonoTime expires_at{};
    bool is_quarantined = false;
    // Another instance has seen an answer before the crashes.
    bool was_answered_elsewhere = false;
    // The other instances know that this one has seen an answer before.
    bool is_answer_reported = false;
  };
  struct PendingClearance {
    Clearance clearance;
    base::MonoTime due_at{};
  };
  // Crashes that no quarantined part explains.
  struct Evidence {
    std::size_t crashes = 0;
    std::size_t repeated = 0;
  };

  // Counts the broken attempts at the backend server as crashes; only those at
  // `incarnation` if it is set.
  void AddCrashes(const base::BackendId& backend,
                  std::optional<std::int64_t> incarnation,
                  base::MonoTime now);
  void AddDigestCrash(const std::string& digest,
                      const base::BackendId& backend,
                      base::MonoTime now);
  void AddPartCrash(const std::string& part,
                    const base::BackendId& backend,
                    PartCrash crash,
                    base::MonoTime now);
  // Returns this instance's unpublished report of the crash.
  Report& OwnReportOf(const base::BackendId& backend);
  void ClearParts(const std::vector<std::string>& parts, base::MonoTime now);
  // Shares an answer to a part that was involved in `crashes`.
  void AddClearance(Clearance clearance,
                    std::size_t crashes,
                    base::MonoTime now);
  Evidence EvidenceAgainst(const PartRecord& record) const;
  bool IsSufficient(const std::string& part,
                    const PartRecord& record,
                    const Evidence& evidence) const;
  // Whether another suspect that was never answered was involved in one of
  // these crashes and in at least as many.
  bool HasEqualSuspect(const std::string& part,
                       const PartRecord& record,
                       std::size_t crashes) const;
  // Quarantines the parts against which there is enough evidence, the strongest
  // first, since each explains crashes that then count against no other.
  void UpdateQuarantine();
  void UpdateExplainedCrashes();
  // Whether any instance has seen an answer to a request with the part.
  bool WasAnswered(const std::string& part, const PartRecord& record) const;
  // When this instance last saw one; nothing if never.
  std::optional<base::MonoTime> AnsweredAt(const std::string& part) const;

  std::deque<BrokenAttempt> broken_attempts_;
  std::map<std::string, DigestRecord> digests_;
  std::map<std::string, PartRecord> parts_;
  // Backend servers whose crash is explained by a quarantined part.
  std::set<base::BackendId> explained_;
  // When requests with a prompt part were last answered. The older half is
  // dropped when the newer one is full.
  std::unordered_map<std::string, base::MonoTime> answered_;
  std::unordered_map<std::string, base::MonoTime> answered_before_;
  std::vector<Report> reports_;
  std::vector<PendingClearance> clearances_;
  int instances_ = 1;
  std::mt19937_64 random_;
  std::vector<std::string> newly_quarantined_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_
