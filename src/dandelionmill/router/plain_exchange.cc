#include "dandelionmill/router/plain_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "dandelionmill/router/fiber_mailbox.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using base::Ran;
using routing::Ending;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr milliseconds kActorPatience{1000};
constexpr milliseconds kProbeTimeout{400};
// An idempotent call is given up on a connection after this share of its time,
// so that a connection that has gone silent does not take all of it.
constexpr int kTriesInDeadline = 4;
constexpr milliseconds kShortestTry{1500};

// How an answer counts for routing and for the budget.
struct Verdict {
  Ending ending = Ending::kBroken;
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
};

Verdict Judge(net::Fiber& fiber,
              const backend::PlainAnswer& answer,
              const net::Address& address,
              bool idempotent) {
  using Kind = backend::PlainAnswer::Kind;
  const bool refused = answer.says_not_run ||
                       (idempotent && (answer.status == kTooManyRequests ||
                                       answer.status == kUnavailable));
  switch (answer.kind) {
    case Kind::kNotSent:
      return {Ending::kNotSent, wire::OUTCOME_NOT_RUN};
    case Kind::kAnswered:
      if (refused)
        return {Ending::kRejected, wire::OUTCOME_NOT_RUN};
      if (answer.status == kTooManyRequests || answer.status == kUnavailable)
        return {Ending::kAnsweredError, wire::OUTCOME_UNKNOWN};
      return {Ending::kCompleted, wire::OUTCOME_COMPLETED};
    case Kind::kTimedOut:
      return {};
    case Kind::kBroken:
      if (!backend::AcceptsConnections(fiber, address, kProbeTimeout))
        return {Ending::kCrashed, wire::OUTCOME_UNKNOWN};
      return {};
  }
  return {};
}

milliseconds TryTimeout(const RequestInfo& info) {
  const auto remaining = std::max(
      milliseconds(1), std::chrono::duration_cast<milliseconds>(
                           info.request.deadline - steady_clock::now()));
  if (!info.request.idempotent)
    return remaining;
  return std::min(remaining,
                  std::max(kShortestTry, remaining / kTriesInDeadline));
}

net::HttpCall MakeCall(const RequestInfo& info,
                       const PlainCall& call,
                       const base::AttemptId& attempt) {
  net::HttpCall http;
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

std::variant<PlainResult, Problem> ExchangePlain(
    net::Fiber& fiber,
    Traffic& traffic,
    const std::shared_ptr<const RequestInfo>& info,
    const PlainCall& call) {
  FiberMailbox mailbox(fiber);
  const routing::RequestNumber number = info->request.number;
  traffic.Post(BeginRequest{info, mailbox.sender()});
  for (;;) {
    const auto instruction =
        mailbox.Take(info->request.deadline + kActorPatience);
    if (!instruction || std::holds_alternative<TakenOver>(*instruction)) {
      traffic.Post(CallerLeft{number});
      return Problem{{Code::kDeadlineExceeded, ""}, Ran::kMaybe};
    }
    if (const auto* give_up = std::get_if<GiveUp>(&*instruction))
      return give_up->problem;
    const auto* run = std::get_if<RunOn>(&*instruction);
    if (run == nullptr)
      continue;
    const backend::PlainAnswer answer = backend::CallPlain(
        fiber, run->address, MakeCall(*info, call, run->attempt),
        TryTimeout(*info));
    const Verdict verdict =
        Judge(fiber, answer, run->address, info->request.idempotent);
    const bool late = verdict.ending == Ending::kBroken &&
                      steady_clock::now() >= info->request.deadline;
    traffic.Post(AttemptEnded{number,
                              late ? Ending::kCancelled : verdict.ending,
                              false,
                              {call.tokens, 0},
                              verdict.outcome});
    if (late)
      return Problem{{Code::kDeadlineExceeded, ""}, Ran::kMaybe};
    if (verdict.ending == Ending::kCompleted) {
      traffic.metrics().completed.Add();
      return PlainResult{answer, Ran::kYes};
    }
    if (verdict.ending == Ending::kAnsweredError)
      return PlainResult{answer, Ran::kMaybe};
  }
}

}  // namespace dandelionmill::router
