#ifndef SRC_DANDELIONMILL_ROUTER_ROUTER_STATE_H_
#define SRC_DANDELIONMILL_ROUTER_ROUTER_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/router/account_limiter.h"
#include "dandelionmill/router/config_follower.h"
#include "dandelionmill/router/control_directory.h"
#include "dandelionmill/router/grant_ledger.h"
#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/router_metrics.h"
#include "dandelionmill/router/settlement_outbox.h"
#include "dandelionmill/routing/dispatcher.h"
#include "dandelionmill/wire/bus.h"
#include "dandelionmill/wire/envelope.pb.h"
#include "dandelionmill/wire/pending_calls.h"

namespace dandelionmill::router {

// Identifies this router process and its place in the fleet.
struct Identity {
  base::RouterId router;
  base::InstanceId instance;
  base::ZoneId zone;
};

// Sends an envelope and returns the id that a reply refers to. Implemented by
// wire::Bus::Send in the daemon and by a recorder in tests.
using SendMessage =
    std::function<std::uint64_t(const wire::Route&, wire::Envelope)>;
// Called with each configuration that comes into force.
using PublishConfig = std::function<void(inventory::SnapshotPtr)>;

// The central state of a router process: requests in progress and their grants,
// unacknowledged settlements, and the last known state of controls and backend
// servers. Used only on the thread of the router actor; answer streams bypass
// it. Checking that a grant is valid and issuing the instruction to send the
// request happen in the same step, so the grant of a closed holder is never
// used.
class RouterState {
 public:
  struct Options {
    Identity identity;
    // The local control first.
    std::vector<net::Address> controls;
    std::uint64_t seed = 0;
  };

  RouterState(Options options,
              SendMessage send,
              PublishConfig publish,
              RouterMetrics& metrics);

  // Commands: messages from controls, callers' fibers and the load poller.
  void OnMessage(const wire::Route& from,
                 const wire::Envelope& message,
                 base::MonoTime now);
  void OnTick(base::MonoTime now);
  void OnBeginRequest(const BeginRequest& begin, base::MonoTime now);
  void OnPromptCounted(const PromptCounted& counted, base::MonoTime now);
  void OnAttemptEnded(const AttemptEnded& ended, base::MonoTime now);
  void OnCallerDisconnected(const CallerDisconnected& event,
                            base::MonoTime now);
  void OnLoad(const base::BackendId& backend,
              const std::optional<routing::LoadReport>& report,
              base::MonoTime now);
  void OnCacheEvents(const base::BackendId& backend,
                     const std::vector<routing::CacheEvent>& events);
  void OnLeave(base::MonoTime now);

  // Queries.
  // Whether no request is in progress and every settlement is acknowledged.
  bool IsDrained() const;
  // Returns the state as JSON text, without secrets.
  std::string Dump(base::MonoTime now) const;

 private:
  // The grant of a request's current attempt.
  struct HeldTokens {
    base::AttemptId attempt;
    base::HolderId holder;
    base::Tokens tokens = 0;
  };
  // A token reservation that has not been answered yet.
  struct PendingReservation {
    // The control that was asked; empty while none is available.
    base::HolderId holder;
    base::MonoTime resend_at;
    // Controls that became unreachable or could not grant.
    std::vector<base::HolderId> failed;
    base::MonoTime started_at;
    // Whether the next request is marked as a resend of the last one.
    bool next_is_resend = true;
  };
  // A request in progress.
  struct ActiveRequest {
    std::shared_ptr<const RequestInfo> info;
    std::shared_ptr<Mailbox> mailbox;
    std::optional<PendingReservation> reservation;
    std::optional<HeldTokens> held;
    // Selected by the dispatcher; the request is sent once it also has a grant.
    base::BackendId backend;
    bool submitted = false;
    // An attempt was sent to a backend server or is being read from one.
    bool running = false;
    bool attached = false;
    bool caller_disconnected = false;
    // Another request of this router reads the same attempt and settles it.
    bool shared = false;
    int attaches = 0;
    // Any part of the request may have reached a backend server.
    bool may_have_run = false;
  };
  using Number = routing::RequestNumber;

  // router_messages.cc
  void OnZoneView(const wire::Route& from,
                  const wire::Envelope& message,
                  base::MonoTime now);
  void UpdateConfig(const wire::ConfigHead& head, base::MonoTime now);
  void OnCloseHolder(const wire::Route& from,
                     const wire::Envelope& message,
                     base::MonoTime now);
  void OnDetach(const base::AttemptId& attempt, base::MonoTime now);
  void OnCallerGoneReply(const wire::CallerGoneReply& reply);
  // Ends a request without settling its attempt, which another request reads.
  void DetachRequest(Number number, base::MonoTime now);
  void SendHellos();
  void SendSettlements(base::MonoTime now);

  // router_reservations.cc
  void Reserve(Number number, base::MonoTime now);
  void SendReserveRequest(Number number,
                          ActiveRequest& request,
                          bool resent,
                          base::MonoTime now);
  void ReserveAtNextControl(Number number,
                            ActiveRequest& request,
                            base::MonoTime now);
  void CheckReservations(base::MonoTime now);
  void OnReserveReply(Number number,
                      const base::HolderId& from,
                      const wire::Envelope* reply);
  void OnGrant(Number number, const wire::Grant& grant, base::MonoTime now);
  void OnAttach(Number number, const wire::Attach& attach, base::MonoTime now);
  void OnRefusal(Number number,
                 const base::HolderId& from,
                 const wire::Refusal& refusal,
                 base::MonoTime now);
  // Leaves the settlement of `attempt` to a newer request of this router: the
  // older one is marked as shared, or ended if its caller has disconnected.
  void ShareAttempt(const base::AttemptId& attempt, base::MonoTime now);
  void ReturnUnusedGrant(const RequestInfo* info,
                         const wire::Grant& grant,
                         base::MonoTime now);

  // router_requests.cc
  void ApplyDecisions(const routing::Decisions& decisions, base::MonoTime now);
  void StartIfReady(Number number, ActiveRequest& request, base::MonoTime now);
  void EndOwnAttempt(Number number,
                     const AttemptEnded& ended,
                     base::MonoTime now);
  void EndAttachedAttempt(Number number,
                          const AttemptEnded& ended,
                          base::MonoTime now);
  void Settle(ActiveRequest& request,
              wire::Outcome outcome,
              const backend::Usage& usage,
              bool rerun_follows,
              base::MonoTime now);
  void Refuse(Number number, Problem problem, base::MonoTime now);
  void EraseRequest(Number number);
  // Sends the dispatcher's new quarantine records to controls.
  void ShareQuarantines(base::MonoTime now);

  HeldGrant MakeHeldGrant(const ActiveRequest& request) const;
  ActiveRequest* Find(Number number);
  // Returns the number of the first request that holds a grant for `attempt`.
  std::optional<Number> FindByAttempt(const base::AttemptId& attempt) const;
  wire::Route RouteForSettlement(const base::HolderId& holder,
                                 const std::string& budget_key,
                                 base::MonoTime now) const;

  const Identity identity_;
  const SendMessage send_;
  const PublishConfig publish_;
  RouterMetrics& metrics_;

  wire::PendingCalls pending_calls_;
  ControlDirectory controls_;
  ConfigFollower follower_;
  inventory::SnapshotPtr config_;
  routing::Dispatcher dispatcher_;
  AccountLimiter limiter_;
  GrantLedger ledger_;
  SettlementOutbox outbox_;
  std::map<Number, ActiveRequest> requests_;
  std::set<base::BackendId> leaving_backends_;
  base::MonoTime next_hello_at_;
  bool leaving_ = false;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_ROUTER_STATE_H_
