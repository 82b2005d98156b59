#ifndef SRC_DANDELIONMILL_ROUTING_DISPATCHER_H_
#define SRC_DANDELIONMILL_ROUTING_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/routing/quarantine_table.h"

namespace dandelionmill::routing {

// Identifies a request within one router process.
using RequestNumber = std::uint64_t;

// The properties of a request that routing depends on.
struct Request {
  RequestNumber number = 0;
  base::AccountId account;
  // Relative share of the queue while client accounts compete for it.
  int weight = 1;
  base::ServiceId service;
  // Empty for a plain service.
  base::ModelId model;
  std::string adapter;
  // 0 (highest) to 9 (lowest).
  int priority = 5;
  // Only idempotent requests are dispatched again after a failed attempt.
  bool idempotent = true;
  // Whether it may be rerun after part of its answer has reached the caller:
  // the router checks that the rerun repeats that part and does not resend it.
  bool replayable = false;
  // SHA-256 of the body in hexadecimal. Requests without a digest or with an
  // empty body are exempt from quarantine.
  std::string body_sha256;
  // Chained hashes of the complete prompt blocks, in prompt order.
  std::vector<std::string> prefix_blocks;
  // Prompt and output tokens; the cost of the request in the fair queue.
  base::Tokens expected_tokens = 0;
  base::MonoTime deadline;
};

// Instructs the router to send the request to a backend server now.
struct Dispatch {
  RequestNumber number = 0;
  base::BackendId backend;
};

// Instructs the router to answer the caller with an error now.
struct Refuse {
  RequestNumber number = 0;
  base::Error error;
  base::Ran ran = base::Ran::kNo;
  // 0 if a retry cannot succeed.
  std::chrono::milliseconds retry_after{0};
};

using Decision = std::variant<Dispatch, Refuse>;
using Decisions = std::vector<Decision>;

// How an attempt on a backend server ended.
enum class AttemptResult {
  kCompleted,
  // The backend server returned an error that is forwarded to the caller.
  kAnsweredError,
  // No byte of the request reached the backend server.
  kNotSent,
  // The backend server refused to run it: busy, leaving or rate-limited.
  kRejected,
  // The backend server crashed during the attempt: a probe found it down, or
  // restarted without a record of the attempt.
  kCrashed,
  // The connection was lost or stalled; the backend server may still be up.
  kConnectionLost,
  // The router cancelled it: the caller disconnected or the deadline passed.
  kCancelled,
};

// Load reported by a backend server; out of date by the time it arrives.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  bool leaving = false;
  // Loaded models and adapters; empty if not reported.
  std::set<std::string> models;
  // Time of the measurement on this process's clock.
  base::MonoTime measured_at;
};

// A prompt block that a model engine has cached or evicted. The engine numbers
// events consecutively from 1; a gap means that events were lost.
struct CacheEvent {
  std::uint64_t sequence = 0;
  // False if the block was evicted.
  bool stored = true;
  std::string block;
};

// Decides where and when each request of one router runs: choice of backend
// server, queueing, fairness, load shedding, retries, ejection and quarantine.
// Performs no I/O and is deterministic: the same calls return the same
// decisions. Not thread-safe.
class Dispatcher {
 public:
  // `seed` initializes the random policies and identifies the router in its
  // crash records, so it must differ between routers.
  Dispatcher(base::ZoneId zone, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(Dispatcher&& other) noexcept;
  Dispatcher& operator=(Dispatcher&& other) noexcept;

  // Commands. Each returns the decisions to carry out now, in order.
  Decisions OnConfig(inventory::SnapshotPtr config, base::MonoTime now);
  Decisions Submit(Request request, base::MonoTime now);
  // Handles the end of an attempt. kCompleted, kAnsweredError and kCancelled
  // remove the request; otherwise it is dispatched again, queued or refused.
  // `answer_started` is true if the caller has received part of the answer.
  // Ignored if the request is not running.
  Decisions OnAttemptEnded(RequestNumber number,
                           AttemptResult result,
                           bool answer_started,
                           base::MonoTime now);
  // Removes a waiting request whose caller has disconnected. Ignored if the
  // request is running.
  Decisions OnCallerDisconnected(RequestNumber number, base::MonoTime now);
  Decisions OnTick(base::MonoTime now);
  Decisions OnLoadReport(const base::BackendId& backend,
                         const LoadReport& report,
                         base::MonoTime now);
  Decisions SetLeavingBackends(const std::set<base::BackendId>& leaving,
                               base::MonoTime now);
  // Handles an answer in which a backend server announced that it is leaving.
  // The next load report overrides it.
  Decisions OnBackendLeaving(const base::BackendId& backend,
                             base::MonoTime now);

  // Merges the crash record of a request body from another router.
  Decisions MergeQuarantine(const QuarantineRecord& record, base::MonoTime now);

  // Observations that lead to no decision.
  void OnFirstEvent(RequestNumber number, base::MonoTime now);
  void OnLoadReportFailed(const base::BackendId& backend, base::MonoTime now);
  void OnCacheEvents(const base::BackendId& backend,
                     const std::vector<CacheEvent>& events);
  // Returns the quarantine records that changed since the last call. Call it
  // after each OnAttemptEnded() and send the records to control for other
  // routers.
  std::vector<QuarantineRecord> TakeChangedQuarantines();

  // Queries.
  // Adds the state of queues, backend servers and quarantines to `dump`.
  void Dump(nlohmann::json& dump, base::MonoTime now) const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_DISPATCHER_H_
