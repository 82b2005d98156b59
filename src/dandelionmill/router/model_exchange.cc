#include "dandelionmill/router/model_exchange.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using base::Ran;
using routing::Ending;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// How long the actor may be late with its answer to a request whose deadline
// has passed.
constexpr milliseconds kActorPatience{1000};
constexpr milliseconds kCancelTimeout{1000};
constexpr milliseconds kDrainStep{200};

}  // namespace

ModelExchange::ModelExchange(net::Fiber& fiber,
                             Traffic& traffic,
                             std::shared_ptr<const RequestInfo> info,
                             std::string path,
                             std::string body)
    : fiber_(fiber),
      traffic_(traffic),
      info_(std::move(info)),
      path_(std::move(path)),
      body_(std::move(body)),
      mailbox_(fiber),
      began_at_(steady_clock::now()) {
  traffic_.Post(BeginRequest{info_, mailbox_.sender()});
}

AnswerStep ModelExchange::Next(base::MonoTime until) {
  const base::MonoTime deadline = info_->request.deadline;
  while (!over_) {
    const base::MonoTime now = steady_clock::now();
    if (!stream_) {
      const auto instruction =
          mailbox_.Take(std::min(until, deadline + kActorPatience));
      if (instruction) {
        if (Maybe step = OnInstruction(*instruction))
          return *std::move(step);
        continue;
      }
      if (now >= deadline + kActorPatience) {
        traffic_.Post(CallerLeft{info_->request.number});
        return Fail(Code::kDeadlineExceeded, Ran::kMaybe, "");
      }
      return NothingYet{};
    }
    if (mailbox_.HasMail()) {
      if (Maybe step = OnInstruction(*mailbox_.Take(now)))
        return *std::move(step);
      continue;
    }
    if (now >= deadline) {
      const bool heard = stream_->prompt_known();
      Cancel();
      return Fail(Code::kDeadlineExceeded, heard ? Ran::kYes : Ran::kMaybe, "");
    }
    AnswerStep step = ReadStream(std::min(until, deadline));
    if (!std::holds_alternative<NothingYet>(step) ||
        steady_clock::now() >= until)
      return step;
  }
  return NothingYet{};
}

ModelExchange::Maybe ModelExchange::OnInstruction(
    const Instruction& instruction) {
  return std::visit(
      base::Overloaded{
          [this](const RunOn& run) -> Maybe {
            run_ = run;
            if (abandoned_) {
              EndAttempt(Ending::kCancelled, wire::OUTCOME_NOT_RUN, {});
              return Over(NothingYet{});
            }
            Run(run);
            return std::nullopt;
          },
          [this](const GiveUp& give_up) -> Maybe {
            Problem problem = give_up.problem;
            if (prefix_.begun()) {
              problem.error.code = Code::kAnswerIncomplete;
              problem.ran = Ran::kYes;
            }
            return Over(AnswerFailed{std::move(problem)});
          },
          [this](const TakenOver&) -> Maybe {
            stream_.reset();
            return Fail(Code::kAnswerIncomplete, Ran::kMaybe,
                        "another router has taken over the request");
          },
          [this](const Shared&) -> Maybe {
            shared_ = true;
            return std::nullopt;
          },
          [this](const CancelDecision& decision) -> Maybe {
            if (!decision.cancel || !stream_)
              return std::nullopt;
            Cancel();
            return Fail(Code::kCallerGone, Ran::kYes, "");
          }},
      instruction);
}

void ModelExchange::Run(const RunOn& run) {
  backend::AttemptStream::Options options;
  options.address = run.address;
  options.attempt = run.attempt;
  options.tuning = traffic_.tuning();
  if (!run.attach) {
    net::HttpCall call;
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
  traffic_.metrics().overhead_ms.Record(
      std::chrono::duration<double, std::milli>(steady_clock::now() - began_at_)
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
  const bool agrees = TakeEvents(step.events, chunks);
  if (!agrees) {
    Cancel();
    return Fail(Code::kAnswerIncomplete, Ran::kYes,
                "a second run of the request answered differently");
  }
  if (step.end) {
    if (chunks.chunks.empty())
      return OnStreamEnd(*step.end);
    // The end comes again with the next call.
    pending_end_ = step.end;
  }
  if (chunks.chunks.empty())
    return NothingYet{};
  return chunks;
}

bool ModelExchange::TakeEvents(const std::vector<backend::SseEvent>& events,
                               AnswerChunks& chunks) {
  if (stream_->prompt_known() && !prompt_reported_) {
    prompt_reported_ = true;
    traffic_.Post(
        PromptCounted{info_->request.number, stream_->usage().prompt});
  }
  for (const backend::SseEvent& event : events) {
    const backend::ChunkInfo chunk = backend::ReadChunk(event.data);
    if (chunk.usage_only || chunk.done)
      continue;
    switch (prefix_.Take(event.data)) {
      case AnswerPrefix::Verdict::kGiven:
        break;
      case AnswerPrefix::Verdict::kNew:
        chunks.chunks.push_back(event.data);
        break;
      case AnswerPrefix::Verdict::kDiffers:
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
      EndAttempt(Ending::kCompleted, wire::OUTCOME_COMPLETED, usage);
      if (!whole)
        return Fail(Code::kAnswerIncomplete, Ran::kYes,
                    "a second run of the request gave a shorter answer");
      traffic_.metrics().completed.Add();
      return Over(AnswerComplete{usage});
    }
    case Kind::kNotSent:
      EndAttempt(Ending::kNotSent, wire::OUTCOME_NOT_RUN, {});
      return NothingYet{};
    case Kind::kRejected:
      EndAttempt(Ending::kRejected, wire::OUTCOME_NOT_RUN, {});
      return NothingYet{};
    case Kind::kAnsweredError:
      EndAttempt(Ending::kAnsweredError, wire::OUTCOME_NOT_RUN, {});
      return Over(BackendError{end.status, end.body});
    case Kind::kCrashed:
      EndAttempt(Ending::kCrashed, wire::OUTCOME_UNKNOWN, usage);
      return NothingYet{};
    case Kind::kBroken:
      EndAttempt(Ending::kBroken, wire::OUTCOME_UNKNOWN, usage);
      return NothingYet{};
    case Kind::kCancelled:
      EndAttempt(Ending::kCancelled, wire::OUTCOME_UNKNOWN, usage);
      return Fail(Code::kAnswerIncomplete, Ran::kYes,
                  "the attempt was cancelled at the backend server");
  }
  return NothingYet{};
}

void ModelExchange::Cancel() {
  if (shared_) {
    stream_.reset();
    traffic_.Post(CallerLeft{info_->request.number});
    return;
  }
  const backend::ProbeResult result = backend::CancelAttempt(
      fiber_, run_->address, run_->attempt, kCancelTimeout);
  if (const auto* record = std::get_if<backend::AttemptRecord>(&result)) {
    const bool completed =
        record->state == backend::AttemptRecord::State::kCompleted;
    return EndAttempt(
        completed ? Ending::kCompleted : Ending::kCancelled,
        completed ? wire::OUTCOME_COMPLETED : wire::OUTCOME_CANCELLED,
        record->usage);
  }
  EndAttempt(Ending::kCancelled, wire::OUTCOME_UNKNOWN, stream_->usage());
}

void ModelExchange::EndAttempt(routing::Ending ending,
                               wire::Outcome outcome,
                               const backend::Usage& usage) {
  if (stream_) {
    traffic_.metrics().resumes.Add(stream_->counts().resumes);
    traffic_.metrics().silent_moves.Add(stream_->counts().silent_moves);
  }
  stream_.reset();
  pending_end_.reset();
  traffic_.Post(AttemptEnded{info_->request.number, ending, prefix_.begun(),
                             usage, outcome});
}

AnswerStep ModelExchange::Fail(Code code, Ran ran, std::string detail) {
  return Over(AnswerFailed{{{code, std::move(detail)}, ran, milliseconds(0)}});
}

AnswerStep ModelExchange::Over(AnswerStep step) {
  over_ = true;
  return step;
}

void ModelExchange::Abandon() {
  if (over_)
    return;
  abandoned_ = true;
  traffic_.Post(CallerLeft{info_->request.number});
  while (!over_)
    Next(steady_clock::now() + kDrainStep);
}

}  // namespace dandelionmill::router
