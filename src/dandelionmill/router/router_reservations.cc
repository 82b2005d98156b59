#include <algorithm>
#include <utility>

#include "dandelionmill/router/router_state.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using std::chrono::milliseconds;

// An unanswered reservation is resent, as the message or its reply may be lost.
constexpr milliseconds kResendPeriod{1000};
// How long a request waits for any control of the zone to become available.
constexpr milliseconds kNoControlTimeout{2000};
constexpr milliseconds kRetryAfterNoControl{2000};
// Delay before resending after a reply that cannot be used yet.
constexpr milliseconds kRetryPause{100};
// Maximum number of attempts to which one request is attached before it is
// refused.
constexpr int kMaxAttaches = 2;

base::Ran ParseRan(const std::string& text) {
  if (text == "no")
    return base::Ran::kNo;
  return text == "yes" ? base::Ran::kYes : base::Ran::kMaybe;
}

// Whether another control of the zone may still grant after a refusal with
// `code`.
bool MayBeGrantedElsewhere(Code code) {
  return code == Code::kLeaving || code == Code::kNoConfig ||
         code == Code::kLeaseLost || code == Code::kControlUnavailable;
}

Code CodeFromNumber(int number) {
  for (const base::CodeInfo& info : base::AllCodes()) {
    if (static_cast<int>(info.code) == number)
      return info.code;
  }
  return Code::kInternal;
}

}  // namespace

void RouterState::Reserve(Number number, base::MonoTime now) {
  ActiveRequest& request = *Find(number);
  request.reservation = PendingReservation{};
  request.reservation->started_at = now;
  ReserveAtNextControl(number, request, now);
}

void RouterState::ReserveAtNextControl(Number number,
                                       ActiveRequest& request,
                                       base::MonoTime now) {
  PendingReservation& reservation = *request.reservation;
  const RequestInfo& info = *request.info;
  const auto ranked = controls_.RankedControls(
      BudgetKey(info.request.account, info.budget), now);
  const auto next =
      std::find_if(ranked.begin(), ranked.end(), [&](const auto& holder) {
        return std::find(reservation.failed.begin(), reservation.failed.end(),
                         holder) == reservation.failed.end();
      });
  if (next != ranked.end()) {
    const bool resent = !reservation.holder.empty();
    reservation.holder = *next;
    return SendReserveRequest(number, request, resent, now);
  }
  reservation.holder = base::HolderId();
  if (now - reservation.started_at < kNoControlTimeout) {
    reservation.failed.clear();
    return;
  }
  Refuse(
      number,
      {{Code::kControlUnavailable, ""}, base::Ran::kNo, kRetryAfterNoControl},
      now);
}

void RouterState::SendReserveRequest(Number number,
                                     ActiveRequest& request,
                                     bool resent,
                                     base::MonoTime now) {
  const RequestInfo& info = *request.info;
  const auto remaining =
      std::chrono::duration_cast<milliseconds>(info.request.deadline - now);
  wire::Envelope envelope;
  wire::ReserveRequest& message = *envelope.mutable_reserve_request();
  message.set_account(info.request.account.value());
  message.set_budget(info.budget);
  message.set_service(info.request.service.value());
  message.set_model(info.request.model.value());
  message.set_request_key(info.key.value());
  message.set_key_from_caller(info.key_from_caller);
  message.set_body_sha256(info.content_sha256);
  message.set_prompt_bound(info.prompt_bound);
  message.set_output_cap(info.output_cap);
  message.set_idempotent(info.request.idempotent);
  message.set_deadline_ms(std::max<std::int64_t>(1, remaining.count()));
  message.set_resent(resent);
  PendingReservation& reservation = *request.reservation;
  reservation.resend_at = now + kResendPeriod;
  const auto route = controls_.RouteOf(reservation.holder, now);
  const std::uint64_t id =
      send_(route.value_or(wire::Route{}), std::move(envelope));
  const base::HolderId holder = reservation.holder;
  pending_calls_.Expect(id, info.request.deadline,
                        [this, number, holder](const wire::Envelope* reply) {
                          OnReserveReply(number, holder, reply);
                        });
}

void RouterState::CheckReservations(base::MonoTime now) {
  std::vector<Number> pending;
  for (const auto& [number, request] : requests_) {
    if (request.reservation)
      pending.push_back(number);
  }
  for (const Number number : pending) {
    ActiveRequest* request = Find(number);
    if (request == nullptr || !request->reservation)
      continue;
    PendingReservation& reservation = *request->reservation;
    if (now >= request->info->request.deadline) {
      Refuse(number,
             {{Code::kDeadlineExceeded, "no tokens were granted in time"},
              base::Ran::kNo},
             now);
    } else if (reservation.holder.empty()) {
      ReserveAtNextControl(number, *request, now);
    } else if (!controls_.IsAlive(reservation.holder, now)) {
      reservation.failed.push_back(reservation.holder);
      ReserveAtNextControl(number, *request, now);
    } else if (now >= reservation.resend_at) {
      SendReserveRequest(number, *request,
                         std::exchange(reservation.next_is_resend, true), now);
    }
  }
}

void RouterState::OnReserveReply(Number number,
                                 const base::HolderId& from,
                                 const wire::Envelope* reply) {
  if (reply == nullptr)
    return;  // expired; CheckReservations refuses the request at its deadline
  const base::MonoTime now = std::chrono::steady_clock::now();
  if (!reply->has_reserve_reply())
    return;
  const wire::ReserveReply& outcome = reply->reserve_reply();
  const ActiveRequest* request = Find(number);
  const bool is_pending =
      request != nullptr && request->reservation.has_value();
  switch (outcome.outcome_case()) {
    case wire::ReserveReply::kGrant:
      return is_pending
                 ? OnGrant(number, outcome.grant(), now)
                 : ReturnUnusedGrant(request ? request->info.get() : nullptr,
                                     outcome.grant(), now);
    case wire::ReserveReply::kAttach:
      return is_pending ? OnAttach(number, outcome.attach(), now) : void();
    case wire::ReserveReply::kRefusal:
      return is_pending ? OnRefusal(number, from, outcome.refusal(), now)
                        : void();
    case wire::ReserveReply::OUTCOME_NOT_SET:
      return;
  }
}

void RouterState::OnGrant(Number number,
                          const wire::Grant& grant,
                          base::MonoTime now) {
  ActiveRequest& request = *Find(number);
  const HeldTokens held{base::AttemptId(grant.attempt()),
                        base::HolderId(grant.holder()), grant.tokens()};
  if (ledger_.IsClosed(held.holder)) {
    // The control may have a lease under a new holder id by now.
    metrics_.dropped_grants.Add();
    ReturnUnusedGrant(request.info.get(), grant, now);
    request.reservation->resend_at = now + kRetryPause;
    request.reservation->next_is_resend = false;
    return;
  }
  request.held = held;
  ledger_.Accept(MakeHeldGrant(request));
  metrics_.reserve_ms.Record(std::chrono::duration<double, std::milli>(
                                 now - request.reservation->started_at)
                                 .count());
  request.reservation.reset();
  if (request.submitted)
    return StartIfReady(number, request, now);
  request.submitted = true;
  ApplyDecisions(dispatcher_.Submit(request.info->request, now), now);
}

void RouterState::OnAttach(Number number,
                           const wire::Attach& attach,
                           base::MonoTime now) {
  ActiveRequest& request = *Find(number);
  const inventory::Backend* backend =
      config_->FindBackend(base::BackendId(attach.backend()));
  const inventory::Service* service =
      config_->FindService(request.info->request.service);
  if (service != nullptr && service->kind == inventory::ServiceKind::kPlain)
    return Refuse(number,
                  {{Code::kRanAlready, "a request with this key is running"},
                   base::Ran::kMaybe,
                   kRetryAfterNoControl},
                  now);
  const bool was_closed =
      attach.moved() && ledger_.IsClosed(base::HolderId(attach.holder()));
  if (backend == nullptr || was_closed ||
      outbox_.IsUnacknowledgedFailure(base::AttemptId(attach.attempt()))) {
    // The attempt is reserved but not yet sent, or control has not yet been
    // informed that it failed or that its holder was closed: resend shortly. An
    // attempt adopted after the close report would not be accounted for
    // anywhere.
    request.reservation->resend_at = now + kRetryPause;
    request.reservation->next_is_resend = false;
    return;
  }
  if (++request.attaches > kMaxAttaches)
    return Refuse(
        number,
        {{Code::kRanAlready, "its answer is no longer kept"}, base::Ran::kYes},
        now);
  ShareAttempt(base::AttemptId(attach.attempt()), now);
  request.held = HeldTokens{base::AttemptId(attach.attempt()),
                            base::HolderId(attach.holder()), attach.tokens()};
  request.reservation.reset();
  request.backend = backend->id;
  request.attached = true;
  request.running = true;
  request.may_have_run = true;
  HeldGrant grant = MakeHeldGrant(request);
  grant.backend = backend->id;
  if (attach.moved())
    ledger_.Adopt(grant);
  metrics_.attaches.Add();
  request.mailbox->Put(
      RunAttempt{request.held->attempt, backend->id, backend->address, true});
}

void RouterState::ShareAttempt(const base::AttemptId& attempt,
                               base::MonoTime now) {
  const auto older = FindByAttempt(attempt);
  if (!older)
    return;
  ActiveRequest& request = *Find(*older);
  if (request.caller_disconnected)
    return DetachRequest(*older, now);
  request.shared = true;
  request.mailbox->Put(MarkShared{});
}

void RouterState::OnRefusal(Number number,
                            const base::HolderId& from,
                            const wire::Refusal& refusal,
                            base::MonoTime now) {
  ActiveRequest& request = *Find(number);
  const Code code = CodeFromNumber(refusal.code());
  if (MayBeGrantedElsewhere(code)) {
    request.reservation->failed.push_back(from);
    return ReserveAtNextControl(number, request, now);
  }
  Refuse(number,
         {{code, refusal.detail()},
          ParseRan(refusal.ran()),
          milliseconds(refusal.retry_after_ms())},
         now);
}

void RouterState::ReturnUnusedGrant(const RequestInfo* info,
                                    const wire::Grant& grant,
                                    base::MonoTime now) {
  const base::AttemptId attempt(grant.attempt());
  if (ledger_.Find(attempt) != nullptr || outbox_.Contains(attempt))
    return;
  wire::Settle settle;
  settle.set_attempt(grant.attempt());
  settle.set_holder(grant.holder());
  settle.set_reserved_tokens(grant.tokens());
  settle.set_outcome(wire::OUTCOME_NOT_RUN);
  if (info != nullptr) {
    settle.set_account(info->request.account.value());
    settle.set_budget(info->budget);
    settle.set_request_key(info->key.value());
    settle.set_idempotent(info->request.idempotent);
  }
  outbox_.Add(std::move(settle), now);
}

}  // namespace dandelionmill::router
