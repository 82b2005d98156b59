// Handling of reservation requests in BudgetModule.

#include <algorithm>
#include <utility>
#include <variant>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/control/internal/budget_module_impl.h"
#include "dandelionmill/metrics/registry.h"

namespace dandelionmill::control {
namespace {

using idempotency::Rejected;

constexpr std::chrono::milliseconds kNoConfigRetryAfter{2000};
// Time limit for writing a claim.
constexpr std::chrono::milliseconds kClaimTimeout{3000};

Rejected Refusal(base::Code code,
                 std::string detail,
                 std::chrono::milliseconds retry_after = {}) {
  return {{code, std::move(detail)}, base::Ran::kNo, retry_after};
}

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void BudgetModule::Impl::OnReserve(const wire::Route& from,
                                   const wire::Envelope& message) {
  const base::RouterId router(message.sender());
  RegisterRouter(from, router);
  auto call = std::make_shared<Call>(
      Call{from, message.id(), router, now_, message.reserve_request()});
  const CallKey key{call->name(), router};
  const auto pending = calls_.find(key);
  if (pending != calls_.end()) {
    // The router resent the request while the first copy is still waiting.
    pending->second->from = from;
    pending->second->id = message.id();
    return;
  }
  calls_[key] = call;
  if (const std::optional<Rejected> rejected = Validate(*call))
    return Refuse(call, *rejected);
  ApplyAdmission(call, Admit(*call));
}

std::optional<Rejected> BudgetModule::Impl::Validate(const Call& call) const {
  if (context_.leaving)
    return Refusal(base::Code::kLeaving, "this control is shutting down",
                   std::chrono::seconds(1));
  if (!context_.config)
    return Refusal(base::Code::kNoConfig, "no configuration yet",
                   kNoConfigRetryAfter);
  if (call.request.request_key().empty() || call.request.prompt_bound() < 0 ||
      call.request.output_cap() < 0)
    return Refusal(base::Code::kMalformedMessage, "reservation");
  if (call.tokens() > 0 && !FindBudgetConfig(call.budget())) {
    return Refusal(base::Code::kBudgetUnknown,
                   "client account " + call.request.account() +
                       " has no budget " + call.request.budget());
  }
  return std::nullopt;
}

idempotency::Admission BudgetModule::Impl::Admit(const Call& call) const {
  return attempts_.Admit(
      {call.name(), call.request.body_sha256(), call.request.idempotent(),
       call.router, call.request.resent()},
      now_);
}

void BudgetModule::Impl::ApplyAdmission(
    const CallPtr& call,
    const idempotency::Admission& admission) {
  std::visit(base::Overloaded{
                 [&](const idempotency::NewAttempt&) { ReserveTokens(call); },
                 [&](const idempotency::RepeatGrant& repeat) {
                   SendGrant(call, repeat.attempt);
                 },
                 [&](const idempotency::AttachTo& attach) {
                   Attach(call, attach.attempt);
                 },
                 [&](const Rejected& rejected) { Refuse(call, rejected); }},
             admission);
}

void BudgetModule::Impl::ReserveTokens(const CallPtr& call) {
  // A plain service may be free of charge; no lease is needed then.
  if (call->tokens() == 0)
    return OnTokensReserved(call);
  BudgetLeases::TokenRequest request;
  request.key = call->budget();
  request.router = call->router;
  request.tokens = call->tokens();
  // The second half of the time is kept for running the request.
  request.wait_until = call->arrived + std::chrono::milliseconds(
                                           call->request.deadline_ms() / 2);
  request.done = [this, call](const std::optional<Rejected>& rejected) {
    if (rejected)
      Refuse(call, *rejected);
    else
      OnTokensReserved(call);
  };
  leases().Reserve(std::move(request), now_);
}

void BudgetModule::Impl::OnTokensReserved(const CallPtr& call) {
  // Another copy of the request may have been granted in the meantime.
  const idempotency::Admission admission = Admit(*call);
  if (!std::holds_alternative<idempotency::NewAttempt>(admission)) {
    if (call->tokens() > 0)
      leases().Release(call->budget(), call->router, call->tokens());
    return ApplyAdmission(call, admission);
  }
  if (call->request.idempotent())
    return Grant(call, NewAttemptId());
  AcquireClaim(call);
}

void BudgetModule::Impl::AcquireClaim(const CallPtr& call) {
  const base::AttemptId id = NewAttemptId();
  const std::size_t epoch = epochs_.size();
  BudgetClaims::Acquisition acquisition;
  acquisition.name = call->name();
  acquisition.claim.attempt = id;
  acquisition.claim.body_sha256 = call->request.body_sha256();
  acquisition.claim.holder = holder_row().holder();
  acquisition.claim.at_unix_ms = UnixMillis();
  acquisition.holder_check = holder_row().VersionCheck();
  acquisition.deadline =
      now_ + std::min(kClaimTimeout, std::chrono::milliseconds(
                                         call->request.deadline_ms() / 2));
  acquisition.done = [this, call, id,
                      epoch](const std::optional<Rejected>& rejected) {
    // The tokens of a closed epoch are lost, but the request has not been sent
    // yet.
    const bool lease_lost = epoch != epochs_.size() && call->tokens() > 0;
    if (!rejected && !lease_lost)
      return Grant(call, id);
    if (!rejected) {
      claims_.Settle(call->name(), id, idempotency::ClaimState::kReleased,
                     nullptr);
      return Refuse(call, Refusal(base::Code::kLeaseLost, "lease closed",
                                  std::chrono::seconds(1)));
    }
    if (!lease_lost && call->tokens() > 0)
      leases().Release(call->budget(), call->router, call->tokens());
    Refuse(call, *rejected);
  };
  claims_.Acquire(std::move(acquisition), now_);
}

void BudgetModule::Impl::Grant(const CallPtr& call, const base::AttemptId& id) {
  idempotency::Attempt attempt;
  attempt.id = id;
  attempt.name = call->name();
  attempt.budget = call->request.budget();
  attempt.body_sha256 = call->request.body_sha256();
  attempt.idempotent = call->request.idempotent();
  attempt.key_from_caller = call->request.key_from_caller();
  attempt.router = call->router;
  attempt.holder = holder_row().holder();
  attempt.service = call->request.service();
  attempt.model = call->request.model();
  attempt.granted = call->tokens();
  attempt.reserved = call->tokens();
  attempt.granted_at = now_;
  attempt.deadline =
      call->arrived + std::chrono::milliseconds(call->request.deadline_ms());
  attempts_.Add(std::move(attempt));
  SendGrant(call, id);
}

void BudgetModule::Impl::SendGrant(const CallPtr& call,
                                   const base::AttemptId& id) {
  const idempotency::Attempt* attempt = attempts_.Find(id);
  wire::ReserveReply reply;
  wire::Grant& grant = *reply.mutable_grant();
  grant.set_attempt(id.value());
  grant.set_holder(attempt->holder.value());
  grant.set_tokens(attempt->granted);
  Reply(call, std::move(reply));
}

void BudgetModule::Impl::Attach(const CallPtr& call,
                                const base::AttemptId& id) {
  idempotency::Attempt* attempt = attempts_.FindMutable(id);
  const bool running = attempt->state != idempotency::AttemptState::kEnded;
  // If the tokens cannot be reserved for the new router, both routers follow
  // the attempt and both settle it; the second settlement has no effect.
  if (running && attempt->router != call->router && attempt->joining.empty() &&
      attempt->holder == holder_row().holder() &&
      leases().ReserveNow(BudgetKeyOf(*attempt), call->router,
                          attempt->reserved)) {
    attempt->joining = call->router;
    attempt->joining_tokens = attempt->reserved;
  }
  disconnected_attempts_.erase(id);
  attempt->caller_disconnected_at.reset();
  wire::ReserveReply reply;
  wire::Attach& attach = *reply.mutable_attach();
  attach.set_attempt(id.value());
  attach.set_holder(holder_row().holder().value());
  attach.set_tokens(attempt->granted);
  attach.set_backend(attempt->backend.value());
  attach.set_moved(running && attempt->joining == call->router);
  Reply(call, std::move(reply));
}

// The message shows that the new router has recorded the attempt, so the old
// one may drop it. Detaching the old router earlier could leave the attempt
// unrecorded at both if this control were lost in between.
void BudgetModule::Impl::CompleteJoin(idempotency::Attempt& attempt,
                                      const base::RouterId& sender) {
  if (attempt.joining.empty() || attempt.joining != sender)
    return;
  if (attempt.holder == holder_row().holder())
    leases().Release(BudgetKeyOf(attempt), attempt.router, attempt.reserved);
  const auto old = routers_.find(attempt.router);
  if (old != routers_.end()) {
    wire::Envelope envelope;
    envelope.mutable_detach()->set_attempt(attempt.id.value());
    context_.bus.Send(old->second.route, std::move(envelope));
  }
  attempt.router = attempt.joining;
  attempt.reserved = attempt.joining_tokens;
  attempt.joining = base::RouterId();
}

void BudgetModule::Impl::Refuse(const CallPtr& call, const Rejected& rejected) {
  wire::ReserveReply reply;
  wire::Refusal& refusal = *reply.mutable_refusal();
  refusal.set_code(static_cast<int>(rejected.error.code));
  refusal.set_detail(rejected.error.detail);
  refusal.set_ran(base::ToString(rejected.ran));
  refusal.set_retry_after_ms(rejected.retry_after.count());
  context_.metrics
      .GetCounter("dandelion_reservations_refused_total",
                  "Reservations refused, by result code.",
                  "code=\"" + std::to_string(refusal.code()) + "\"")
      .Add();
  Reply(call, std::move(reply));
}

void BudgetModule::Impl::Reply(const CallPtr& call, wire::ReserveReply reply) {
  calls_.erase({call->name(), call->router});
  wire::Envelope envelope;
  *envelope.mutable_reserve_reply() = std::move(reply);
  context_.bus.Reply(call->from, call->id, std::move(envelope));
}

base::AttemptId BudgetModule::Impl::NewAttemptId() {
  std::string id = context_.holder.value();
  std::replace(id.begin(), id.end(), '/', '-');
  return base::AttemptId(id + "-" + std::to_string(next_attempt_++));
}

}  // namespace dandelionmill::control
