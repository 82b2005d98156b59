// The part of BudgetModule that follows running attempts and ends them.

#include <algorithm>
#include <utility>

#include "dandelionmill/control/internal/budget_core.h"
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

void BudgetModule::Core::OnDispatched(const wire::Envelope& message) {
  const wire::Dispatched& dispatched = message.dispatched();
  idempotency::Attempt* attempt =
      attempts_.Edit(base::AttemptId(dispatched.attempt()));
  if (attempt == nullptr || attempt->state == idempotency::AttemptState::kEnded)
    return;
  ConfirmJoin(*attempt, base::RouterId(message.sender()));
  attempt->backend = base::BackendId(dispatched.backend());
  attempt->state = idempotency::AttemptState::kDispatched;
}

void BudgetModule::Core::OnShrink(const wire::Envelope& message) {
  const wire::Shrink& shrink = message.shrink();
  idempotency::Attempt* attempt =
      attempts_.Edit(base::AttemptId(shrink.attempt()));
  if (attempt == nullptr || attempt->state == idempotency::AttemptState::kEnded)
    return;
  const base::RouterId sender(message.sender());
  ConfirmJoin(*attempt, sender);
  const base::Tokens unused = attempt->reserved - shrink.tokens();
  if (attempt->router != sender || unused <= 0 || shrink.tokens() < 0)
    return;
  attempt->reserved = shrink.tokens();
  if (attempt->holder == holder_row().holder())
    leases().Release(BudgetOf(*attempt), attempt->router, unused);
}

void BudgetModule::Core::OnCallerGone(const wire::Route& from,
                                      const wire::Envelope& message) {
  const base::AttemptId id(message.caller_gone().attempt());
  idempotency::Attempt* attempt = attempts_.Edit(id);
  wire::Envelope envelope;
  wire::CallerGoneReply& reply = *envelope.mutable_caller_gone_reply();
  reply.set_attempt(id.value());
  // Stopping a non-idempotent request half-way would only hide its outcome.
  reply.set_cancel(attempt == nullptr ||
                   (attempt->idempotent && !attempt->key_from_caller));
  if (attempt != nullptr && attempt->idempotent && attempt->key_from_caller) {
    attempt->caller_gone_at = now_;
    callers_gone_.insert(id);
  }
  context_.bus.Reply(from, message.id(), std::move(envelope));
}

// Cancels attempts whose caller has not come back.
void BudgetModule::Core::CancelForgotten() {
  for (auto id = callers_gone_.begin(); id != callers_gone_.end();) {
    const idempotency::Attempt* attempt = attempts_.Find(*id);
    const bool running = attempt != nullptr &&
                         attempt->state != idempotency::AttemptState::kEnded;
    if (running &&
        now_ - *attempt->caller_gone_at < idempotency::kCallerGrace) {
      ++id;
      continue;
    }
    const auto router =
        running ? routers_.find(attempt->router) : routers_.end();
    if (router != routers_.end()) {
      wire::Envelope envelope;
      wire::CallerGoneReply& order = *envelope.mutable_caller_gone_reply();
      order.set_attempt(id->value());
      order.set_cancel(true);
      context_.bus.Send(router->second.route, std::move(envelope));
    }
    id = callers_gone_.erase(id);
  }
}

void BudgetModule::Core::OnSettle(const wire::Route& from,
                                  const wire::Envelope& message) {
  const wire::Settle& settle = message.settle();
  if (routers_.count(base::RouterId(message.sender())) == 0)
    return OnPeerSettle(from, settle);
  const base::AttemptId id(settle.attempt());
  const idempotency::Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) {
    if (!ForwardSettle(settle))
      SettleUnknown(from, settle);
    return;
  }
  AcknowledgeLater(id, from);
  if (charges_.IsQueued(id))
    return;
  if (attempt->state == idempotency::AttemptState::kEnded)
    return Acknowledge({id});
  if (settle.outcome() == wire::OUTCOME_NOT_RUN)
    EndNotRun(*attempt);
  else
    EndRun(*attempt, settle, true);
}

// Another control passes on a settlement: of an attempt that we granted, or one
// that we may have taken over, whose charge the sender stores.
void BudgetModule::Core::OnPeerSettle(const wire::Route& from,
                                      const wire::Settle& settle) {
  const base::AttemptId id(settle.attempt());
  const bool ours = IsHeldBy(base::HolderId(settle.holder()), context_.holder);
  const idempotency::Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) {
    if (ours)
      return SettleUnknown(from, settle);
    return NoteLateSettle(id,
                          settle.outcome() == wire::OUTCOME_NOT_RUN
                              ? 0
                              : TokensUsed(settle, settle.reserved_tokens()));
  }
  const auto router = routers_.find(attempt->router);
  if (ours && router != routers_.end())
    AcknowledgeLater(id, router->second.route);
  if (charges_.IsQueued(id))
    return;
  if (attempt->state == idempotency::AttemptState::kEnded)
    return Acknowledge({id});
  if (settle.outcome() == wire::OUTCOME_NOT_RUN)
    EndNotRun(*attempt);
  else
    EndRun(*attempt, settle, ours);
}

// The control that granted the attempt keeps its account as long as it lives.
bool BudgetModule::Core::ForwardSettle(const wire::Settle& settle) {
  for (const membership::Member& member : context_.members.members) {
    if (!member.reachable || member.holder == context_.holder ||
        !IsHeldBy(base::HolderId(settle.holder()), member.holder))
      continue;
    wire::Envelope envelope;
    *envelope.mutable_settle() = settle;
    context_.bus.Send(context_.bus.Dial(member.address), std::move(envelope));
    return true;
  }
  return false;
}

// The holder is gone: the budget is settled by its recovery, so that only the
// charge is left to store.
void BudgetModule::Core::SettleUnknown(const wire::Route& from,
                                       const wire::Settle& settle) {
  const base::AttemptId id(settle.attempt());
  AcknowledgeLater(id, from);
  const idempotency::RequestName name{base::AccountId(settle.account()),
                                      base::RequestKey(settle.request_key())};
  if (settle.outcome() == wire::OUTCOME_NOT_RUN) {
    if (settle.idempotent())
      return Acknowledge({id});
    return claims_.Settle(name, id, idempotency::ClaimState::kReleased,
                          [this, id] { Acknowledge({id}); });
  }
  const base::Tokens used = TokensUsed(settle, settle.reserved_tokens());
  NoteLateSettle(id, used);
  TellPeers(settle);
  if (settle.rerun_follows())
    return Acknowledge({id});
  if (!settle.idempotent() && settle.outcome() == wire::OUTCOME_COMPLETED)
    claims_.Settle(name, id, idempotency::ClaimState::kDone, nullptr);
  charges_.Add(ChargeOf(settle, used));
}

// Bounded: an attempt that is dropped here is settled later by asking its
// backend server.
void BudgetModule::Core::NoteLateSettle(const base::AttemptId& attempt,
                                        base::Tokens used) {
  if (late_settles_.size() >= kMaxLateSettles)
    late_settles_.erase(late_settles_.begin());
  late_settles_[attempt] = used;
}

void BudgetModule::Core::EndNotRun(const idempotency::Attempt& attempt) {
  const base::AttemptId id = attempt.id;
  const bool idempotent = attempt.idempotent;
  const idempotency::RequestName name = attempt.name;
  ReturnTokens(attempt, 0);
  attempts_.Forget(id);
  if (idempotent)
    return Acknowledge({id});
  claims_.Settle(name, id, idempotency::ClaimState::kReleased,
                 [this, id] { Acknowledge({id}); });
}

void BudgetModule::Core::EndRun(const idempotency::Attempt& attempt,
                                const wire::Settle& settle,
                                bool with_charge) {
  const base::Tokens used = TokensUsed(settle, attempt.reserved);
  const bool charged = with_charge && !settle.rerun_follows();
  // With the queue full the router keeps the charge and sends it again.
  if (charged && !charges_.Add(ChargeOf(settle, used)))
    return;
  ReturnTokens(attempt, used);
  if (attempt.holder != holder_row().holder())
    TellPeers(settle);
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

// The control that has taken over the reservation may be any of the zone.
void BudgetModule::Core::TellPeers(const wire::Settle& settle) {
  for (const membership::Member& member : context_.members.members) {
    if (!member.reachable || member.holder == context_.holder ||
        member.zone != context_.zone)
      continue;
    wire::Envelope envelope;
    *envelope.mutable_settle() = settle;
    context_.bus.Send(context_.bus.Dial(member.address), std::move(envelope));
  }
}

void BudgetModule::Core::ReturnTokens(const idempotency::Attempt& attempt,
                                      base::Tokens used) {
  if (attempt.reserved == 0)
    return;
  if (!attempt.joining.empty() && attempt.holder == holder_row().holder())
    leases().Release(BudgetOf(attempt), attempt.joining,
                     attempt.joining_tokens);
  if (attempt.holder != holder_row().holder())
    return NoteLateSettle(attempt.id, used);
  leases().Settle(BudgetOf(attempt), attempt.router, attempt.reserved, used);
}

void BudgetModule::Core::AcknowledgeLater(const base::AttemptId& attempt,
                                          const wire::Route& from) {
  acknowledge_to_[attempt] = from;
}

void BudgetModule::Core::Acknowledge(
    const std::vector<base::AttemptId>& attempts) {
  std::map<wire::Route, wire::Envelope> messages;
  for (const base::AttemptId& attempt : attempts) {
    const auto route = acknowledge_to_.find(attempt);
    if (route == acknowledge_to_.end())
      continue;
    messages[route->second].mutable_settle_ack()->add_attempts(attempt.value());
    acknowledge_to_.erase(route);
  }
  for (auto& [route, message] : messages)
    context_.bus.Send(route, std::move(message));
}

}  // namespace dandelionmill::control
