#include "dandelionmill/router/plain_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "dandelionmill/router/fiber_mailbox.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using base::Ran;
using routing::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr milliseconds kActorReplyTimeout{1000};
constexpr milliseconds kProbeTimeout{400};
// An attempt of an idempotent call times out after 1/kAttemptsPerDeadline of
// the remaining time, so that a connection that becomes silent does not use up
// the whole deadline.
constexpr int kAttemptsPerDeadline = 4;
constexpr milliseconds kMinAttemptTimeout{1500};

// The outcome of an attempt as seen by routing and by the budget.
struct AttemptOutcome {
  AttemptResult ending = AttemptResult::kConnectionLost;
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
};

AttemptOutcome ClassifyAnswer(net::Fiber& fiber,
                              const backend::PlainResponse& answer,
                              const net::Address& address,
                              bool idempotent) {
  using Kind = backend::PlainResponse::Kind;
  const bool refused = answer.reports_not_run ||
                       (idempotent && (answer.status == kTooManyRequests ||
                                       answer.status == kUnavailable));
  switch (answer.kind) {
    case Kind::kNotSent:
      return {AttemptResult::kNotSent, wire::OUTCOME_NOT_RUN};
    case Kind::kAnswered:
      if (refused)
        return {AttemptResult::kRejected, wire::OUTCOME_NOT_RUN};
      if (answer.status == kTooManyRequests || answer.status == kUnavailable)
        return {AttemptResult::kAnsweredError, wire::OUTCOME_UNKNOWN};
      return {AttemptResult::kCompleted, wire::OUTCOME_COMPLETED};
    case Kind::kTimedOut:
      return {};
    case Kind::kBroken:
      if (!backend::AcceptsConnections(fiber, address, kProbeTimeout))
        return {AttemptResult::kCrashed, wire::OUTCOME_UNKNOWN};
      return {};
  }
  return {};
}

milliseconds AttemptTimeout(const RequestInfo& info) {
  const auto remaining = std::max(
      milliseconds(1), std::chrono::duration_cast<milliseconds>(
                           info.request.deadline - steady_clock::now()));
  if (!info.request.idempotent)
    return remaining;
  return std::min(remaining, std::max(kMinAttemptTimeout,
                                      remaining / kAttemptsPerDeadline));
}

net::HttpClientRequest MakeCall(const RequestInfo& info,
                                const PlainCall& call,
                                const base::AttemptId& attempt) {
  net::HttpClientRequest http;
  http.method = call.method;
  http.path = call.path;
  http.headers = {{"X-Attempt-Id", attempt.value()},
                  {"X-Account", info.request.account.value()},
                  {"X-Request-Key", info.key.value()}};
  if (!call.content_type.empty())
    http.headers["Content-Type"] = call.content_type;
  http.body = call.body;
  return http;
}

}  // namespace

std::variant<PlainResult, Problem> RunPlainCall(
    net::Fiber& fiber,
    RouterContext& context,
    const std::shared_ptr<const RequestInfo>& info,
    const PlainCall& call) {
  FiberMailbox mailbox(fiber);
  const routing::RequestNumber number = info->request.number;
  context.Post(BeginRequest{info, mailbox.mailbox()});
  for (;;) {
    const auto instruction =
        mailbox.Take(info->request.deadline + kActorReplyTimeout);
    if (!instruction || std::holds_alternative<StopFollowing>(*instruction)) {
      context.Post(CallerDisconnected{number});
      return Problem{{Code::kDeadlineExceeded, ""}, Ran::kMaybe};
    }
    if (const auto* failure = std::get_if<FailRequest>(&*instruction))
      return failure->problem;
    const auto* run = std::get_if<RunAttempt>(&*instruction);
    if (run == nullptr)
      continue;
    const backend::PlainResponse answer = backend::CallPlain(
        fiber, run->address, MakeCall(*info, call, run->attempt),
        AttemptTimeout(*info));
    const AttemptOutcome outcome =
        ClassifyAnswer(fiber, answer, run->address, info->request.idempotent);
    const bool timed_out = outcome.ending == AttemptResult::kConnectionLost &&
                           steady_clock::now() >= info->request.deadline;
    context.Post(
        AttemptEnded{number,
                     timed_out ? AttemptResult::kCancelled : outcome.ending,
                     false,
                     {call.tokens, 0},
                     outcome.outcome});
    if (timed_out)
      return Problem{{Code::kDeadlineExceeded, ""}, Ran::kMaybe};
    if (outcome.ending == AttemptResult::kCompleted) {
      context.metrics().completed.Add();
      return PlainResult{answer, Ran::kYes};
    }
    if (outcome.ending == AttemptResult::kAnsweredError)
      return PlainResult{answer, Ran::kMaybe};
  }
}

}  // namespace dandelionmill::router
