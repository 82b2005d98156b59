#include <utility>

#include "dandelionmill/log/event.h"
#include "dandelionmill/router/router_state.h"
#include "dandelionmill/routing/quarantine_wire.h"

namespace dandelionmill::router {

void RouterState::OnMessage(const wire::Route& from,
                            const wire::Envelope& message,
                            base::MonoTime now) {
  const base::HolderId holder(message.sender());
  controls_.OnMessage(holder, now);
  if (message.in_reply_to() != 0 && pending_calls_.Deliver(message))
    return;
  switch (message.body_case()) {
    case wire::Envelope::kZoneView:
      return OnZoneView(from, message, now);
    case wire::Envelope::kConfigContent:
      return UpdateConfig(message.config_content().head(), now);
    case wire::Envelope::kReserveReply:
      // No longer expected: the reply is late or a duplicate.
      if (message.reserve_reply().has_grant())
        ReturnUnusedGrant(nullptr, message.reserve_reply().grant(), now);
      return;
    case wire::Envelope::kSettleAck:
      for (const std::string& attempt : message.settle_ack().attempts())
        outbox_.Acknowledge(base::AttemptId(attempt), now);
      return;
    case wire::Envelope::kCloseHolder:
      return OnCloseHolder(from, message, now);
    case wire::Envelope::kDetach:
      return OnDetach(base::AttemptId(message.detach().attempt()), now);
    case wire::Envelope::kBackendCrash:
      return ApplyDecisions(
          dispatcher_.MergeQuarantine(
              routing::ToRecord(message.backend_crash().record(), now), now),
          now);
    case wire::Envelope::kCallerGoneReply:
      return OnCallerGoneReply(message.caller_gone_reply());
    default:
      return;
  }
}

void RouterState::SendHellos() {
  for (const net::Address& address : controls_.Addresses()) {
    wire::Envelope envelope;
    wire::RouterHello& hello = *envelope.mutable_router_hello();
    hello.set_router(identity_.router.value());
    hello.set_instance(identity_.instance.value());
    hello.set_zone(identity_.zone.value());
    hello.set_config_version(follower_.version());
    hello.set_leaving(leaving_);
    hello.set_running_requests(static_cast<std::int64_t>(requests_.size()));
    wire::Route route;
    route.remote_address = address;
    send_(route, std::move(envelope));
  }
}

void RouterState::OnZoneView(const wire::Route& from,
                             const wire::Envelope& message,
                             base::MonoTime now) {
  const wire::ZoneView& view = message.zone_view();
  controls_.OnZoneView(from, base::HolderId(message.sender()), view, now);
  if (!follower_.IsNewer(view.config()))
    return;
  UpdateConfig(view.config(), now);
  if (!follower_.IsNewer(view.config()))
    return;
  wire::Envelope envelope;
  *envelope.mutable_config_fetch() = follower_.MakeFetch();
  send_(from, std::move(envelope));
}

void RouterState::UpdateConfig(const wire::ConfigHead& head,
                               base::MonoTime now) {
  auto taken = follower_.Update(head);
  if (!taken) {
    if (!follower_.problem().empty())
      log::Event(log::Level::kError, "config_unusable")
          .With("version", head.version())
          .With("problem", follower_.problem());
    return;
  }
  config_ = *std::move(taken);
  metrics_.config_version.Set(static_cast<std::int64_t>(config_->version()));
  log::Event(log::Level::kInfo, "config_in_force")
      .With("version", config_->version());
  publish_(config_);
  // Reports the new version to the controls without waiting for the next
  // period.
  SendHellos();
  ApplyDecisions(dispatcher_.OnConfig(config_, now), now);
}

void RouterState::OnCloseHolder(const wire::Route& from,
                                const wire::Envelope& message,
                                base::MonoTime now) {
  const base::HolderId holder(message.close_holder().holder());
  std::vector<base::AttemptId> dropped;
  const CloseStatement statement = ledger_.Close(holder, dropped);
  wire::Envelope envelope;
  wire::CloseReport& report = *envelope.mutable_close_report();
  report.set_holder(holder.value());
  report.set_router(identity_.router.value());
  for (const auto& [budget, tokens] : statement.settled) {
    wire::BudgetUse& use = *report.add_uses();
    use.set_account(budget.first.value());
    use.set_budget(budget.second);
    use.set_settled_tokens(tokens);
  }
  for (const HeldGrant& grant : statement.running) {
    wire::RunningAttempt& running = *report.add_running();
    running.set_attempt(grant.attempt.value());
    running.set_account(grant.account.value());
    running.set_budget(grant.budget);
    running.set_request_key(grant.key.value());
    running.set_backend(grant.backend.value());
    running.set_tokens(grant.tokens);
    running.set_idempotent(grant.idempotent);
    running.set_body_sha256(grant.body_sha256);
  }
  envelope.set_in_reply_to(message.id());
  send_(from, std::move(envelope));
  log::Event(log::Level::kInfo, "holder_closed")
      .With("holder", holder)
      .With("running", statement.running.size())
      .With("dropped", dropped.size());
  for (const base::AttemptId& attempt : dropped) {
    metrics_.dropped_grants.Add();
    const auto number = FindByAttempt(attempt);
    if (!number)
      continue;
    ActiveRequest& request = *Find(*number);
    wire::Grant grant;
    grant.set_attempt(attempt.value());
    grant.set_holder(holder.value());
    grant.set_tokens(request.held->tokens);
    ReturnUnusedGrant(request.info.get(), grant, now);
    request.held.reset();
    Reserve(*number, now);
  }
}

// Control orders the cancellation after no retry has arrived for a request
// whose caller disconnected.
void RouterState::OnCallerGoneReply(const wire::CallerGoneReply& reply) {
  if (!reply.cancel())
    return;
  for (auto& [number, request] : requests_) {
    if (request.caller_disconnected && request.held &&
        request.held->attempt.value() == reply.attempt())
      request.mailbox->Put(CancelDecision{true});
  }
}

void RouterState::OnDetach(const base::AttemptId& attempt, base::MonoTime now) {
  ledger_.HandOver(attempt);
  while (const auto number = FindByAttempt(attempt))
    DetachRequest(*number, now);
}

void RouterState::DetachRequest(Number number, base::MonoTime now) {
  ActiveRequest& request = *Find(number);
  request.mailbox->Put(StopFollowing{});
  const bool dispatched = request.submitted;
  EraseRequest(number);
  if (dispatched)
    ApplyDecisions(dispatcher_.OnAttemptEnded(
                       number, routing::AttemptResult::kCancelled, true, now),
                   now);
}

void RouterState::SendSettlements(base::MonoTime now) {
  for (wire::Settle& settle : outbox_.TakeDue(now)) {
    const wire::Route route = RouteForSettlement(
        base::HolderId(settle.holder()),
        BudgetKey(base::AccountId(settle.account()), settle.budget()), now);
    wire::Envelope envelope;
    *envelope.mutable_settle() = std::move(settle);
    send_(route, std::move(envelope));
    metrics_.settlements_sent.Add();
  }
}

wire::Route RouterState::RouteForSettlement(const base::HolderId& holder,
                                            const std::string& budget_key,
                                            base::MonoTime now) const {
  if (const auto route = controls_.RouteOf(holder, now))
    return *route;
  const std::vector<base::HolderId> ranked =
      controls_.RankedControls(budget_key, now);
  if (!ranked.empty())
    return *controls_.RouteOf(ranked.front(), now);
  wire::Route fallback;
  fallback.remote_address = *controls_.Addresses().begin();
  return fallback;
}

}  // namespace dandelionmill::router
