#ifndef SRC_DANDELIONMILL_ROUTING_INTERNAL_DISPATCHER_STATE_H_
#define SRC_DANDELIONMILL_ROUTING_INTERNAL_DISPATCHER_STATE_H_

#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dandelionmill/routing/body_quarantine.h"
#include "dandelionmill/routing/dispatcher.h"
#include "dandelionmill/routing/fair_queue.h"
#include "dandelionmill/routing/policy.h"
#include "dandelionmill/routing/pool.h"
#include "dandelionmill/routing/retry_budget.h"
#include "dandelionmill/routing/run_time_estimate.h"

namespace dandelionmill::routing {

// Implements Dispatcher; see there for the public methods.
class Dispatcher::State {
 public:
  State(base::ZoneId zone, std::uint64_t seed);

  Decisions OnConfig(inventory::SnapshotPtr config, base::MonoTime now);
  Decisions Submit(Request request, base::MonoTime now);
  Decisions OnAttemptEnded(RequestNumber number,
                           AttemptResult result,
                           bool answer_started,
                           base::MonoTime now);
  Decisions OnCallerDisconnected(RequestNumber number, base::MonoTime now);
  Decisions OnTick(base::MonoTime now);
  Decisions OnLoadReport(const base::BackendId& backend,
                         const LoadReport& report,
                         base::MonoTime now);
  Decisions SetLeavingBackends(const std::set<base::BackendId>& leaving,
                               base::MonoTime now);
  Decisions OnBackendLeaving(const base::BackendId& backend,
                             base::MonoTime now);
  Decisions MergeQuarantine(const QuarantineRecord& record, base::MonoTime now);
  void OnFirstEvent(RequestNumber number, base::MonoTime now);
  void OnLoadReportFailed(const base::BackendId& backend, base::MonoTime now);
  void OnCacheEvents(const base::BackendId& backend,
                     const std::vector<CacheEvent>& events);
  std::vector<QuarantineRecord> TakeChangedQuarantines();
  void Dump(nlohmann::json& dump, base::MonoTime now) const;

 private:
  struct Service {
    Pool pool;
    FairQueue queue{0};
    RetryBudget retries;
    RunTimeEstimate run_time;
  };
  struct Entry {
    Request request;
    bool running = false;
    // Backend server and start of the current or last attempt.
    base::BackendId backend;
    base::MonoTime sent_at;
    // Whether the attempt has produced its first event.
    bool first_event = false;
    int attempts = 0;
    // Whether an attempt has been executed.
    base::Ran ran = base::Ran::kNo;
    // Backend servers on which an attempt has failed.
    std::set<base::BackendId> failed_on;
  };
  // The result of choosing a backend server for a request.
  struct Choice {
    // nullptr if the request has to wait.
    BackendState* backend = nullptr;
    bool probe = false;
    // Whether requests for the same model and adapter would find none either.
    bool none_free = false;
  };

  // Dispatches the request, queues it, or refuses it if it cannot be served
  // before its deadline. `front` queues it ahead of requests of its priority.
  void Admit(Entry& entry, bool front, base::MonoTime now, Decisions& out);
  // Dispatches waiting requests while the service has free slots.
  void DispatchWaiting(Service& service, base::MonoTime now, Decisions& out);
  Choice Choose(Service& service, const Entry& entry, base::MonoTime now);
  void Send(Entry& entry,
            const Choice& choice,
            base::MonoTime now,
            Decisions& out);
  // Refuses waiting requests that are quarantined, have no usable backend
  // server or can no longer meet their deadline.
  void Shed(Service& service, base::MonoTime now, Decisions& out);
  void ShedAndDispatch(Service& service, base::MonoTime now, Decisions& out);

  // Updates the load and health of the backend server after an attempt.
  void RecordBackendResult(BackendState& backend,
                           const Entry& entry,
                           AttemptResult result,
                           base::MonoTime now);
  // Updates the quarantine record of the request body after an attempt.
  void RecordBodyResult(const Entry& entry,
                        AttemptResult result,
                        base::MonoTime now);
  void Retry(Service& service,
             Entry& entry,
             AttemptResult result,
             bool answer_started,
             base::MonoTime now,
             Decisions& out);
  void AddOverdueFirstEvents(base::MonoTime now);

  void RefuseEntry(const Entry& entry,
                   base::Error error,
                   base::Millis retry_after,
                   Decisions& out);
  bool RefuseQuarantined(const Entry& entry,
                         base::MonoTime now,
                         Decisions& out);
  // Returns the delay after which a refused caller should retry, with jitter so
  // that callers do not retry simultaneously.
  base::Millis RetryAfter(const Service& service);
  // Returns `delay` times a random factor between 1 and 1.5.
  base::Millis AddJitter(base::Millis delay);
  Service* FindService(const base::ServiceId& id);
  BackendState* FindBackend(const base::BackendId& id, Service** service);

  const base::ZoneId zone_;
  std::mt19937_64 random_;
  inventory::SnapshotPtr config_;
  Policy policy_;
  std::map<base::ServiceId, Service> services_;
  std::set<base::BackendId> listed_leaving_;
  std::unordered_map<RequestNumber, Entry> entries_;
  BodyQuarantine body_quarantine_;
  base::MonoTime last_maintenance_;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_INTERNAL_DISPATCHER_STATE_H_
