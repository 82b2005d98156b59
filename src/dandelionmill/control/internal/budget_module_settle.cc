// Tracking and settlement of running attempts in BudgetModule.

#include <algorithm>
#include <utility>

#include "dandelionmill/control/internal/budget_module_impl.h"
#include "dandelionmill/control/internal/tokens_used.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

const char* NameOf(wire::Outcome outcome) {
  switch (outcome) {
    case wire::OUTCOME_COMPLETED:
      return "completed";
    case wire::OUTCOME_CANCELLED:
      return "cancelled";
    case wire::OUTCOME_FAILED:
      return "failed";
    default:
      return "unknown";
  }
}

constexpr std::size_t kMaxLateSettles = 10000;

billing::Charge ChargeOf(const wire::Settle& settle, base::Tokens tokens) {
  billing::Charge charge;
  charge.account = base::AccountId(settle.account());
  charge.budget = settle.budget();
  charge.request_key = base::RequestKey(settle.request_key());
  charge.attempt = base::AttemptId(settle.attempt());
  charge.service = settle.service();
  charge.model = settle.model();
  charge.backend = base::BackendId(settle.backend());
  charge.prompt_tokens = settle.prompt_tokens();
  charge.completion_tokens = settle.completion_tokens();
  charge.tokens = tokens;
  charge.outcome = NameOf(settle.outcome());
  charge.ended_at_unix_ms = settle.ended_at_unix_ms();
  return charge;
}

}  // namespace

void BudgetModule::Impl::OnDispatched(const wire::Envelope& message) {
  const wire::Dispatched& dispatched = message.dispatched();
  idempotency::Attempt* attempt =
      attempts_.FindMutable(base::AttemptId(dispatched.attempt()));
  if (attempt == nullptr || attempt->state == idempotency::AttemptState::kEnded)
    return;
  CompleteJoin(*attempt, base::RouterId(message.sender()));
  attempt->backend = base::BackendId(dispatched.backend());
  attempt->state = idempotency::AttemptState::kDispatched;
}

void BudgetModule::Impl::OnShrink(const wire::Envelope& message) {
  const wire::Shrink& shrink = message.shrink();
  idempotency::Attempt* attempt =
      attempts_.FindMutable(base::AttemptId(shrink.attempt()));
  if (attempt == nullptr || attempt->state == idempotency::AttemptState::kEnded)
    return;
  const base::RouterId sender(message.sender());
  CompleteJoin(*attempt, sender);
  const base::Tokens unused = attempt->reserved - shrink.tokens();
  if (attempt->router != sender || unused <= 0 || shrink.tokens() < 0)
    return;
  attempt->reserved = shrink.tokens();
  if (attempt->holder == holder_row().holder())
    leases().Release(BudgetKeyOf(*attempt), attempt->router, unused);
}

void BudgetModule::Impl::OnCallerGone(const wire::Route& from,
                                      const wire::Envelope& message) {
  const base::AttemptId id(message.caller_gone().attempt());
  idempotency::Attempt* attempt = attempts_.FindMutable(id);
  wire::Envelope envelope;
  wire::CallerGoneReply& reply = *envelope.mutable_caller_gone_reply();
  reply.set_attempt(id.value());
  // Cancelling a non-idempotent request midway would only hide its outcome.
  reply.set_cancel(attempt == nullptr ||
                   (attempt->idempotent && !attempt->key_from_caller));
  if (attempt != nullptr && attempt->idempotent && attempt->key_from_caller) {
    attempt->caller_disconnected_at = now_;
    disconnected_attempts_.insert(id);
  }
  context_.bus.Reply(from, message.id(), std::move(envelope));
}

// Cancels attempts whose caller did not reconnect within
// kCallerReconnectTimeout.
void BudgetModule::Impl::CancelAbandoned() {
  for (auto id = disconnected_attempts_.begin();
       id != disconnected_attempts_.end();) {
    const idempotency::Attempt* attempt = attempts_.Find(*id);
    const bool running = attempt != nullptr &&
                         attempt->state != idempotency::AttemptState::kEnded;
    if (running && now_ - *attempt->caller_disconnected_at <
                       idempotency::kCallerReconnectTimeout) {
      ++id;
      continue;
    }
    const auto router =
        running ? routers_.find(attempt->router) : routers_.end();
    if (router != routers_.end()) {
      wire::Envelope envelope;
      wire::CallerGoneReply& reply = *envelope.mutable_caller_gone_reply();
      reply.set_attempt(id->value());
      reply.set_cancel(true);
      context_.bus.Send(router->second.route, std::move(envelope));
    }
    id = disconnected_attempts_.erase(id);
  }
}

void BudgetModule::Impl::OnSettle(const wire::Route& from,
                                  const wire::Envelope& message) {
  const wire::Settle& settle = message.settle();
  if (routers_.count(base::RouterId(message.sender())) == 0)
    return OnForwardedSettle(from, settle);
  const base::AttemptId id(settle.attempt());
  const idempotency::Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) {
    if (!ForwardSettle(settle))
      SettleUnknownAttempt(from, settle);
    return;
  }
  SetAcknowledgeRoute(id, from);
  if (charges_.IsQueued(id))
    return;
  if (attempt->state == idempotency::AttemptState::kEnded)
    return Acknowledge({id});
  if (settle.outcome() == wire::OUTCOME_NOT_RUN)
    EndNotRun(*attempt);
  else
    EndRun(*attempt, settle, true);
}

// A settlement forwarded by another control: either of an attempt granted here,
// or of one that may have been taken over here; then the sender stores the
// charge.
void BudgetModule::Impl::OnForwardedSettle(const wire::Route& from,
                                           const wire::Settle& settle) {
  const base::AttemptId id(settle.attempt());
  const bool granted_here =
      IsHolderIdOf(base::HolderId(settle.holder()), context_.holder);
  const idempotency::Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) {
    if (granted_here)
      return SettleUnknownAttempt(from, settle);
    return RecordLateSettle(id,
                            settle.outcome() == wire::OUTCOME_NOT_RUN
                                ? 0
                                : TokensUsed(settle, settle.reserved_tokens()));
  }
  const auto router = routers_.find(attempt->router);
  if (granted_here && router != routers_.end())
    SetAcknowledgeRoute(id, router->second.route);
  if (charges_.IsQueued(id))
    return;
  if (attempt->state == idempotency::AttemptState::kEnded)
    return Acknowledge({id});
  if (settle.outcome() == wire::OUTCOME_NOT_RUN)
    EndNotRun(*attempt);
  else
    EndRun(*attempt, settle, granted_here);
}

// As long as the control that granted the attempt is reachable, it accounts for
// the attempt.
bool BudgetModule::Impl::ForwardSettle(const wire::Settle& settle) {
  for (const membership::Member& member : context_.members.members) {
    if (!member.reachable || member.holder == context_.holder ||
        !IsHolderIdOf(base::HolderId(settle.holder()), member.holder))
      continue;
    wire::Envelope envelope;
    *envelope.mutable_settle() = settle;
    context_.bus.Send(context_.bus.Connect(member.address),
                      std::move(envelope));
    return true;
  }
  return false;
}

// The holder is lost: its recovery settles the budget, so only the charge has
// to be stored.
void BudgetModule::Impl::SettleUnknownAttempt(const wire::Route& from,
                                              const wire::Settle& settle) {
  const base::AttemptId id(settle.attempt());
  SetAcknowledgeRoute(id, from);
  const idempotency::RequestIdentity name{
      base::AccountId(settle.account()),
      base::RequestKey(settle.request_key())};
  if (settle.outcome() == wire::OUTCOME_NOT_RUN) {
    if (settle.idempotent())
      return Acknowledge({id});
    return claims_.Settle(name, id, idempotency::ClaimState::kReleased,
                          [this, id] { Acknowledge({id}); });
  }
  const base::Tokens used = TokensUsed(settle, settle.reserved_tokens());
  RecordLateSettle(id, used);
  ForwardSettleToZone(settle);
  if (settle.rerun_follows())
    return Acknowledge({id});
  if (!settle.idempotent() && settle.outcome() == wire::OUTCOME_COMPLETED)
    claims_.Settle(name, id, idempotency::ClaimState::kDone, nullptr);
  charges_.Add(ChargeOf(settle, used));
}

// The map is bounded. An attempt dropped from it is settled later by a lookup
// on its backend server.
void BudgetModule::Impl::RecordLateSettle(const base::AttemptId& attempt,
                                          base::Tokens used) {
  if (late_settles_.size() >= kMaxLateSettles)
    late_settles_.erase(late_settles_.begin());
  late_settles_[attempt] = used;
}

void BudgetModule::Impl::EndNotRun(const idempotency::Attempt& attempt) {
  const base::AttemptId id = attempt.id;
  const bool idempotent = attempt.idempotent;
  const idempotency::RequestIdentity name = attempt.name;
  ReturnTokens(attempt, 0);
  attempts_.Remove(id);
  if (idempotent)
    return Acknowledge({id});
  claims_.Settle(name, id, idempotency::ClaimState::kReleased,
                 [this, id] { Acknowledge({id}); });
}

void BudgetModule::Impl::EndRun(const idempotency::Attempt& attempt,
                                const wire::Settle& settle,
                                bool with_charge) {
  const base::Tokens used = TokensUsed(settle, attempt.reserved);
  const bool charged = with_charge && !settle.rerun_follows();
  // When the queue is full, the settlement is not acknowledged and the router
  // resends it.
  if (charged && !charges_.Add(ChargeOf(settle, used)))
    return;
  ReturnTokens(attempt, used);
  if (attempt.holder != holder_row().holder())
    ForwardSettleToZone(settle);
  const bool completed = settle.outcome() == wire::OUTCOME_COMPLETED;
  if (!attempt.idempotent && completed) {
    claims_.Settle(attempt.name, attempt.id, idempotency::ClaimState::kDone,
                   nullptr);
  }
  const base::AttemptId id = attempt.id;
  attempts_.End(id, completed, now_);
  if (!charged)
    Acknowledge({id});
}

// Any control of the zone may have taken over the reservation.
void BudgetModule::Impl::ForwardSettleToZone(const wire::Settle& settle) {
  for (const membership::Member& member : context_.members.members) {
    if (!member.reachable || member.holder == context_.holder ||
        member.zone != context_.zone)
      continue;
    wire::Envelope envelope;
    *envelope.mutable_settle() = settle;
    context_.bus.Send(context_.bus.Connect(member.address),
                      std::move(envelope));
  }
}

void BudgetModule::Impl::ReturnTokens(const idempotency::Attempt& attempt,
                                      base::Tokens used) {
  if (attempt.reserved == 0)
    return;
  if (!attempt.joining.empty() && attempt.holder == holder_row().holder())
    leases().Release(BudgetKeyOf(attempt), attempt.joining,
                     attempt.joining_tokens);
  if (attempt.holder != holder_row().holder())
    return RecordLateSettle(attempt.id, used);
  leases().Settle(BudgetKeyOf(attempt), attempt.router, attempt.reserved, used);
}

void BudgetModule::Impl::SetAcknowledgeRoute(const base::AttemptId& attempt,
                                             const wire::Route& from) {
  acknowledge_routes_[attempt] = from;
}

void BudgetModule::Impl::Acknowledge(
    const std::vector<base::AttemptId>& attempts) {
  std::map<wire::Route, wire::Envelope> messages;
  for (const base::AttemptId& attempt : attempts) {
    const auto route = acknowledge_routes_.find(attempt);
    if (route == acknowledge_routes_.end())
      continue;
    messages[route->second].mutable_settle_ack()->add_attempts(attempt.value());
    acknowledge_routes_.erase(route);
  }
  for (auto& [route, message] : messages)
    context_.bus.Send(route, std::move(message));
}

}  // namespace dandelionmill::control
