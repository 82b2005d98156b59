#include <algorithm>
#include <utility>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/router/router_state.h"
#include "dandelionmill/routing/quarantine_wire.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using base::Ran;
using routing::AttemptResult;
using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterNoConfig{2000};
constexpr milliseconds kRetryAfterFailure{1000};
// How long to wait for a control to report whether a retry has arrived at
// another router.
constexpr milliseconds kCancelDecisionTimeout{10000};

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns the tokens to charge for an attempt that had `reserved` tokens.
base::Tokens SpentTokens(wire::Outcome outcome,
                         const backend::Usage& usage,
                         base::Tokens reserved) {
  switch (outcome) {
    case wire::OUTCOME_NOT_RUN:
      return 0;
    case wire::OUTCOME_UNKNOWN:
      return reserved;
    default:
      return usage.prompt + usage.completion;
  }
}

bool IsFinal(AttemptResult ending) {
  return ending == AttemptResult::kCompleted ||
         ending == AttemptResult::kAnsweredError ||
         ending == AttemptResult::kCancelled;
}

bool WasNotRun(AttemptResult ending) {
  return ending == AttemptResult::kNotSent ||
         ending == AttemptResult::kRejected;
}

}  // namespace

void RouterState::OnBeginRequest(const BeginRequest& begin,
                                 base::MonoTime now) {
  const RequestInfo& info = *begin.info;
  if (!config_) {
    begin.mailbox->Put(
        FailRequest{{{Code::kNoConfig, ""}, Ran::kNo, kRetryAfterNoConfig}});
    return;
  }
  const auto retry_after = limiter_.Admit(info.request.account, info.limits,
                                          controls_.InstancesInZone(now), now);
  if (retry_after) {
    begin.mailbox->Put(
        FailRequest{{{Code::kRateLimited, ""}, Ran::kNo, *retry_after}});
    return;
  }
  const Number number = info.request.number;
  ActiveRequest& request = requests_[number];
  request.info = begin.info;
  request.mailbox = begin.mailbox;
  metrics_.running.Add(1);
  Reserve(number, now);
}

void RouterState::OnPromptCounted(const PromptCounted& counted,
                                  base::MonoTime now) {
  ActiveRequest* request = Find(counted.number);
  if (request == nullptr || !request->held || !request->running)
    return;
  if (!request->attached)
    dispatcher_.OnFirstEvent(counted.number, now);
  const base::Tokens needed = counted.prompt_tokens + request->info->output_cap;
  if (needed >= request->held->tokens)
    return;
  request->held->tokens = needed;
  ledger_.Shrink(request->held->attempt, needed);
  wire::Envelope envelope;
  wire::Shrink& shrink = *envelope.mutable_shrink();
  shrink.set_attempt(request->held->attempt.value());
  shrink.set_holder(request->held->holder.value());
  shrink.set_tokens(needed);
  if (const auto route = controls_.RouteOf(request->held->holder, now))
    send_(*route, std::move(envelope));
}

void RouterState::OnCallerDisconnected(const CallerDisconnected& event,
                                       base::MonoTime now) {
  ActiveRequest* request = Find(event.number);
  if (request == nullptr)
    return;
  if (!request->running) {
    const bool submitted = request->submitted;
    if (request->held)
      Settle(*request, wire::OUTCOME_NOT_RUN, {}, false, now);
    request->mailbox->Put(StopFollowing{});
    EraseRequest(event.number);
    if (submitted)
      ApplyDecisions(dispatcher_.OnCallerDisconnected(event.number, now), now);
    return;
  }
  if (request->shared)
    return DetachRequest(event.number, now);
  if (request->caller_disconnected)
    return;
  request->caller_disconnected = true;
  const auto route = controls_.RouteOf(request->held->holder, now);
  // Without a key of its own the caller cannot retry this request.
  if (!request->info->key_from_caller) {
    request->mailbox->Put(CancelDecision{true});
    return;
  }
  if (!route) {
    request->mailbox->Put(CancelDecision{false});
    return;
  }
  wire::Envelope envelope;
  wire::CallerGone& gone = *envelope.mutable_caller_gone();
  gone.set_attempt(request->held->attempt.value());
  gone.set_holder(request->held->holder.value());
  const std::uint64_t id = send_(*route, std::move(envelope));
  const std::shared_ptr<Mailbox> mailbox = request->mailbox;
  pending_calls_.Expect(
      id, now + kCancelDecisionTimeout, [mailbox](const wire::Envelope* reply) {
        const bool cancel = reply != nullptr &&
                            reply->has_caller_gone_reply() &&
                            reply->caller_gone_reply().cancel();
        mailbox->Put(CancelDecision{cancel});
      });
}

void RouterState::ApplyDecisions(const routing::Decisions& decisions,
                                 base::MonoTime now) {
  for (const routing::Decision& decision : decisions) {
    std::visit(
        base::Overloaded{
            [&](const routing::Dispatch& dispatch) {
              ActiveRequest* request = Find(dispatch.number);
              if (request == nullptr)
                return;
              request->backend = dispatch.backend;
              StartIfReady(dispatch.number, *request, now);
            },
            [&](const routing::Refuse& refuse) {
              ActiveRequest* request = Find(refuse.number);
              if (request == nullptr)
                return;
              request->submitted = false;  // the dispatcher has removed it
              Refuse(refuse.number,
                     {refuse.error, refuse.ran, refuse.retry_after}, now);
            }},
        decision);
  }
  ShareQuarantines(now);
}

void RouterState::StartIfReady(Number number,
                               ActiveRequest& request,
                               base::MonoTime now) {
  if (!request.held || request.backend.empty() || request.running)
    return;
  const inventory::Backend* backend = config_->FindBackend(request.backend);
  if (backend == nullptr ||
      !ledger_.Dispatch(request.held->attempt, request.backend)) {
    request.backend = base::BackendId();
    return ApplyDecisions(
        dispatcher_.OnAttemptEnded(number, AttemptResult::kNotSent, false, now),
        now);
  }
  wire::Envelope envelope;
  wire::Dispatched& dispatched = *envelope.mutable_dispatched();
  dispatched.set_attempt(request.held->attempt.value());
  dispatched.set_holder(request.held->holder.value());
  dispatched.set_backend(request.backend.value());
  if (const auto route = controls_.RouteOf(request.held->holder, now))
    send_(*route, std::move(envelope));
  request.running = true;
  request.mailbox->Put(
      RunAttempt{request.held->attempt, backend->id, backend->address, false});
}

void RouterState::OnAttemptEnded(const AttemptEnded& ended,
                                 base::MonoTime now) {
  ActiveRequest* request = Find(ended.number);
  if (request == nullptr || !request->running)
    return;
  request->running = false;
  if (!WasNotRun(ended.ending))
    request->may_have_run = true;
  if (request->attached)
    return EndAttachedAttempt(ended.number, ended, now);
  EndOwnAttempt(ended.number, ended, now);
}

void RouterState::EndOwnAttempt(Number number,
                                const AttemptEnded& ended,
                                base::MonoTime now) {
  ActiveRequest& request = *Find(number);
  if (IsFinal(ended.ending)) {
    Settle(request, ended.outcome, ended.usage, false, now);
    EraseRequest(number);
    return ApplyDecisions(dispatcher_.OnAttemptEnded(number, ended.ending,
                                                     ended.answer_started, now),
                          now);
  }
  const routing::Decisions decisions = dispatcher_.OnAttemptEnded(
      number, ended.ending, ended.answer_started, now);
  if (!WasNotRun(ended.ending)) {
    const bool refused = std::any_of(
        decisions.begin(), decisions.end(), [&](const auto& decision) {
          const auto* refuse = std::get_if<routing::Refuse>(&decision);
          return refuse != nullptr && refuse->number == number;
        });
    Settle(request, ended.outcome, ended.usage, !refused, now);
    if (!refused) {
      metrics_.reruns.Add();
      Reserve(number, now);
    }
  }
  if (ActiveRequest* active = Find(number))
    active->backend = base::BackendId();
  ApplyDecisions(decisions, now);
}

void RouterState::EndAttachedAttempt(Number number,
                                     const AttemptEnded& ended,
                                     base::MonoTime now) {
  ActiveRequest& request = *Find(number);
  request.attached = false;
  request.backend = base::BackendId();
  const bool rerun = !IsFinal(ended.ending) && request.info->request.idempotent;
  Settle(request, ended.outcome, ended.usage, rerun, now);
  if (IsFinal(ended.ending))
    return EraseRequest(number);
  if (rerun) {
    metrics_.reruns.Add();
    return Reserve(number, now);
  }
  Refuse(number, {{Code::kOutcomeUnknown, ""}, Ran::kMaybe, milliseconds(0)},
         now);
}

void RouterState::Settle(ActiveRequest& request,
                         wire::Outcome outcome,
                         const backend::Usage& usage,
                         bool rerun_follows,
                         base::MonoTime now) {
  const RequestInfo& info = *request.info;
  const HeldTokens& held = *request.held;
  ledger_.Settle(held.attempt, SpentTokens(outcome, usage, held.tokens));
  wire::Settle settle;
  settle.set_attempt(held.attempt.value());
  settle.set_holder(held.holder.value());
  settle.set_account(info.request.account.value());
  settle.set_budget(info.budget);
  settle.set_request_key(info.key.value());
  settle.set_service(info.request.service.value());
  settle.set_model(info.request.model.value());
  settle.set_backend(request.backend.value());
  settle.set_prompt_tokens(usage.prompt);
  settle.set_completion_tokens(usage.completion);
  settle.set_outcome(outcome);
  settle.set_ended_at_unix_ms(UnixMillis());
  settle.set_reserved_tokens(held.tokens);
  settle.set_idempotent(info.request.idempotent);
  settle.set_rerun_follows(rerun_follows);
  outbox_.Add(std::move(settle), now);
  request.held.reset();
  SendSettlements(now);
}

void RouterState::Refuse(Number number, Problem problem, base::MonoTime now) {
  ActiveRequest& request = *Find(number);
  if (request.held)
    Settle(request, wire::OUTCOME_NOT_RUN, {}, false, now);
  if (request.may_have_run && problem.ran == Ran::kNo)
    problem.ran = Ran::kMaybe;
  if (problem.error.code == Code::kControlUnavailable &&
      problem.retry_after.count() == 0)
    problem.retry_after = kRetryAfterFailure;
  metrics_.CountRefusal(problem.error.code);
  request.mailbox->Put(FailRequest{std::move(problem)});
  const bool submitted = request.submitted;
  EraseRequest(number);
  if (submitted)
    ApplyDecisions(dispatcher_.OnAttemptEnded(number, AttemptResult::kCancelled,
                                              true, now),
                   now);
}

void RouterState::EraseRequest(Number number) {
  const auto found = requests_.find(number);
  if (found == requests_.end())
    return;
  limiter_.Release(found->second.info->request.account);
  metrics_.running.Add(-1);
  requests_.erase(found);
}

// Two recipients suffice, as each control forwards the records to all others.
void RouterState::ShareQuarantines(base::MonoTime now) {
  constexpr std::size_t kMaxRecipients = 2;
  const auto records = dispatcher_.TakeChangedQuarantines();
  if (records.empty())
    return;
  std::vector<base::HolderId> controls = controls_.LiveControls(now);
  controls.resize(std::min(controls.size(), kMaxRecipients));
  for (const routing::QuarantineRecord& record : records) {
    wire::Envelope envelope;
    *envelope.mutable_backend_crash()->mutable_record() =
        routing::ToMessage(record, now);
    for (const base::HolderId& holder : controls) {
      if (const auto route = controls_.RouteOf(holder, now))
        send_(*route, envelope);
    }
  }
}

HeldGrant RouterState::MakeHeldGrant(const ActiveRequest& request) const {
  const RequestInfo& info = *request.info;
  HeldGrant grant;
  grant.attempt = request.held->attempt;
  grant.holder = request.held->holder;
  grant.account = info.request.account;
  grant.budget = info.budget;
  grant.key = info.key;
  grant.tokens = request.held->tokens;
  grant.idempotent = info.request.idempotent;
  grant.body_sha256 = info.content_sha256;
  return grant;
}

}  // namespace dandelionmill::router
