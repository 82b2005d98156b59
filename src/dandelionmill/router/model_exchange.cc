#include "dandelionmill/router/model_exchange.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using base::Ran;
using routing::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// How long after the deadline of a request to wait for the actor's instruction.
constexpr milliseconds kActorReplyTimeout{1000};
constexpr milliseconds kCancelTimeout{1000};
constexpr milliseconds kAbandonPollPeriod{200};

}  // namespace

ModelExchange::ModelExchange(net::Fiber& fiber,
                             RouterContext& context,
                             std::shared_ptr<const RequestInfo> info,
                             std::string path,
                             std::string body)
    : fiber_(fiber),
      context_(context),
      info_(std::move(info)),
      path_(std::move(path)),
      body_(std::move(body)),
      mailbox_(fiber),
      started_at_(steady_clock::now()) {
  context_.Post(BeginRequest{info_, mailbox_.mailbox()});
}

AnswerStep ModelExchange::Next(base::MonoTime until) {
  const base::MonoTime deadline = info_->request.deadline;
  while (!finished_) {
    const base::MonoTime now = steady_clock::now();
    if (!stream_) {
      const auto instruction =
          mailbox_.Take(std::min(until, deadline + kActorReplyTimeout));
      if (instruction) {
        if (OptionalStep step = OnInstruction(*instruction))
          return *std::move(step);
        continue;
      }
      if (now >= deadline + kActorReplyTimeout) {
        context_.Post(CallerDisconnected{info_->request.number});
        return Fail(Code::kDeadlineExceeded, Ran::kMaybe, "");
      }
      return AnswerPending{};
    }
    if (mailbox_.HasInstruction()) {
      if (OptionalStep step = OnInstruction(*mailbox_.Take(now)))
        return *std::move(step);
      continue;
    }
    if (now >= deadline) {
      const bool started = stream_->prompt_known();
      Cancel();
      return Fail(Code::kDeadlineExceeded, started ? Ran::kYes : Ran::kMaybe,
                  "");
    }
    AnswerStep step = ReadStream(std::min(until, deadline));
    if (!std::holds_alternative<AnswerPending>(step) ||
        steady_clock::now() >= until)
      return step;
  }
  return AnswerPending{};
}

ModelExchange::OptionalStep ModelExchange::OnInstruction(
    const Instruction& instruction) {
  return std::visit(
      base::Overloaded{
          [this](const RunAttempt& run) -> OptionalStep {
            attempt_ = run;
            if (abandoned_) {
              EndAttempt(AttemptResult::kCancelled, wire::OUTCOME_NOT_RUN, {});
              return Finish(AnswerPending{});
            }
            StartAttempt(run);
            return std::nullopt;
          },
          [this](const FailRequest& failure) -> OptionalStep {
            Problem problem = failure.problem;
            if (prefix_.any_delivered()) {
              problem.error.code = Code::kAnswerIncomplete;
              problem.ran = Ran::kYes;
            }
            return Finish(AnswerFailed{std::move(problem)});
          },
          [this](const StopFollowing&) -> OptionalStep {
            stream_.reset();
            return Fail(Code::kAnswerIncomplete, Ran::kMaybe,
                        "another router has taken over the request");
          },
          [this](const MarkShared&) -> OptionalStep {
            shared_ = true;
            return std::nullopt;
          },
          [this](const CancelDecision& decision) -> OptionalStep {
            if (!decision.cancel || !stream_)
              return std::nullopt;
            Cancel();
            return Fail(Code::kCallerGone, Ran::kYes, "");
          }},
      instruction);
}

void ModelExchange::StartAttempt(const RunAttempt& run) {
  backend::AttemptStream::Options options;
  options.address = run.address;
  options.attempt = run.attempt;
  options.timeouts = context_.timeouts();
  if (!run.attach) {
    net::HttpClientRequest call;
    call.method = "POST";
    call.path = path_;
    call.headers = {{"Content-Type", "application/json"},
                    {"X-Attempt-Id", run.attempt.value()},
                    {"X-Account", info_->request.account.value()},
                    {"X-Request-Key", info_->key.value()},
                    {"X-Priority", std::to_string(info_->request.priority)}};
    call.body = body_;
    options.start = std::move(call);
  }
  prefix_.BeginRun();
  prompt_reported_ = false;
  context_.metrics().overhead_ms.Record(
      std::chrono::duration<double, std::milli>(steady_clock::now() -
                                                started_at_)
          .count());
  stream_ =
      std::make_unique<backend::AttemptStream>(fiber_, std::move(options));
}

AnswerStep ModelExchange::ReadStream(base::MonoTime until) {
  if (pending_end_) {
    const backend::StreamEnd end = *pending_end_;
    return OnStreamEnd(end);
  }
  const backend::AttemptStream::Step step = stream_->Next(until);
  AnswerChunks chunks;
  const bool matches = ProcessEvents(step.events, chunks);
  if (!matches) {
    Cancel();
    return Fail(Code::kAnswerIncomplete, Ran::kYes,
                "a second run of the request answered differently");
  }
  if (step.end) {
    if (chunks.chunks.empty())
      return OnStreamEnd(*step.end);
    // The next call handles the end.
    pending_end_ = step.end;
  }
  if (chunks.chunks.empty())
    return AnswerPending{};
  return chunks;
}

bool ModelExchange::ProcessEvents(const std::vector<backend::SseEvent>& events,
                                  AnswerChunks& chunks) {
  if (stream_->prompt_known() && !prompt_reported_) {
    prompt_reported_ = true;
    context_.Post(
        PromptCounted{info_->request.number, stream_->usage().prompt});
  }
  for (const backend::SseEvent& event : events) {
    const backend::ChunkInfo chunk = backend::ParseChunk(event.data);
    if (chunk.usage_only || chunk.done)
      continue;
    switch (prefix_.Add(event.data)) {
      case AnswerPrefix::Comparison::kDelivered:
        break;
      case AnswerPrefix::Comparison::kNew:
        chunks.chunks.push_back(event.data);
        break;
      case AnswerPrefix::Comparison::kMismatch:
        return false;
    }
  }
  return true;
}

AnswerStep ModelExchange::OnStreamEnd(const backend::StreamEnd& end) {
  using Kind = backend::StreamEnd::Kind;
  const backend::Usage usage = stream_->usage();
  switch (end.kind) {
    case Kind::kCompleted: {
      const bool whole = prefix_.CaughtUp();
      EndAttempt(AttemptResult::kCompleted, wire::OUTCOME_COMPLETED, usage);
      if (!whole)
        return Fail(Code::kAnswerIncomplete, Ran::kYes,
                    "a second run of the request gave a shorter answer");
      context_.metrics().completed.Add();
      return Finish(AnswerComplete{usage});
    }
    case Kind::kNotSent:
      EndAttempt(AttemptResult::kNotSent, wire::OUTCOME_NOT_RUN, {});
      return AnswerPending{};
    case Kind::kRejected:
      EndAttempt(AttemptResult::kRejected, wire::OUTCOME_NOT_RUN, {});
      return AnswerPending{};
    case Kind::kErrorResponse:
      EndAttempt(AttemptResult::kAnsweredError, wire::OUTCOME_NOT_RUN, {});
      return Finish(BackendError{end.status, end.body});
    case Kind::kCrashed:
      EndAttempt(AttemptResult::kCrashed, wire::OUTCOME_UNKNOWN, usage);
      return AnswerPending{};
    case Kind::kBroken:
      EndAttempt(AttemptResult::kConnectionLost, wire::OUTCOME_UNKNOWN, usage);
      return AnswerPending{};
    case Kind::kCancelled:
      EndAttempt(AttemptResult::kCancelled, wire::OUTCOME_UNKNOWN, usage);
      return Fail(Code::kAnswerIncomplete, Ran::kYes,
                  "the attempt was cancelled at the backend server");
  }
  return AnswerPending{};
}

void ModelExchange::Cancel() {
  if (shared_) {
    stream_.reset();
    context_.Post(CallerDisconnected{info_->request.number});
    return;
  }
  const backend::ProbeResult result = backend::CancelAttempt(
      fiber_, attempt_->address, attempt_->attempt, kCancelTimeout);
  if (const auto* record = std::get_if<backend::AttemptRecord>(&result)) {
    const bool completed =
        record->state == backend::AttemptRecord::State::kCompleted;
    return EndAttempt(
        completed ? AttemptResult::kCompleted : AttemptResult::kCancelled,
        completed ? wire::OUTCOME_COMPLETED : wire::OUTCOME_CANCELLED,
        record->usage);
  }
  EndAttempt(AttemptResult::kCancelled, wire::OUTCOME_UNKNOWN,
             stream_->usage());
}

void ModelExchange::EndAttempt(routing::AttemptResult ending,
                               wire::Outcome outcome,
                               const backend::Usage& usage) {
  if (stream_) {
    context_.metrics().resumes.Add(stream_->counts().resumes);
    context_.metrics().silent_reconnects.Add(
        stream_->counts().silent_reconnects);
  }
  stream_.reset();
  pending_end_.reset();
  context_.Post(AttemptEnded{info_->request.number, ending,
                             prefix_.any_delivered(), usage, outcome});
}

AnswerStep ModelExchange::Fail(Code code, Ran ran, std::string detail) {
  return Finish(
      AnswerFailed{{{code, std::move(detail)}, ran, milliseconds(0)}});
}

AnswerStep ModelExchange::Finish(AnswerStep step) {
  finished_ = true;
  return step;
}

void ModelExchange::Abandon() {
  if (finished_)
    return;
  abandoned_ = true;
  context_.Post(CallerDisconnected{info_->request.number});
  while (!finished_)
    Next(steady_clock::now() + kAbandonPollPeriod);
}

}  // namespace dandelionmill::router
