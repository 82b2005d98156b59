#include "dandelionmill/backend/attempt_stream.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::backend {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kFirstServerError = 500;
// Resumes in a row that bring no new event before the stream is given up.
constexpr int kMaxFruitlessResumes = 5;
// Checks in a row that find the backend server down or the attempt unknown
// while the connection is still open.
constexpr int kMaxDoubtfulChecks = 2;
// How long a connection that lags a probe may still catch up.
constexpr milliseconds kCatchUp{100};
constexpr milliseconds kInvestigatePause{150};
// Silence after which a reader gives its connection up by itself.
constexpr milliseconds kReadTimeout{5000};

StreamEnd End(StreamEnd::Kind kind) {
  return {kind, 0, {}};
}

}  // namespace

AttemptStream::AttemptStream(net::Fiber& fiber, Options options)
    : fiber_(fiber),
      options_(std::move(options)),
      heard_at_(steady_clock::now()) {
  if (options_.start) {
    starting_ = true;
    Open(*options_.start);
  } else {
    Resume();
  }
}

AttemptStream::~AttemptStream() = default;

void AttemptStream::Open(net::HttpCall call) {
  reader_.reset();
  StreamReader::Options reader;
  reader.address = options_.address;
  reader.call = std::move(call);
  reader.read_timeout = kReadTimeout;
  reader_ = std::make_unique<StreamReader>(fiber_, std::move(reader));
  heard_at_ = steady_clock::now();
  check_at_ = heard_at_ + options_.tuning.silent_after;
  gap_since_.reset();
}

AttemptStream::Outcome AttemptStream::Resume() {
  if (++resumes_without_event_ > kMaxFruitlessResumes)
    return End(StreamEnd::Kind::kBroken);
  starting_ = false;
  net::HttpCall call;
  call.method = "GET";
  call.path = AttemptPath(options_.attempt) + "/events";
  if (sequencer_.last() > 0) {
    call.headers["Last-Event-ID"] = std::to_string(sequencer_.last());
    ++counts_.resumes;
  }
  Open(std::move(call));
  return std::nullopt;
}

AttemptStream::Step AttemptStream::Next(base::MonoTime until) {
  Step step;
  while (!step.end && step.events.empty()) {
    StreamReader::Batch batch = reader_->Take(NextCheck(until));
    const base::MonoTime now = steady_clock::now();
    if (!batch.events.empty())
      step.events = Deliver(std::move(batch.events));
    if (done_) {
      step.end = End(StreamEnd::Kind::kCompleted);
    } else if (batch.end) {
      step.end = OnConnectionEnd(*batch.end);
    } else if (gap_since_ &&
               now >= *gap_since_ + options_.tuning.gap_patience) {
      step.end = Resume();
    } else if (step.events.empty() && now >= check_at_) {
      step.end = CheckSilence(now);
    }
    if (now >= until)
      break;
  }
  return step;
}

base::MonoTime AttemptStream::NextCheck(base::MonoTime until) const {
  base::MonoTime next = std::min(until, check_at_);
  if (gap_since_)
    next = std::min(next, *gap_since_ + options_.tuning.gap_patience);
  return next;
}

std::vector<SseEvent> AttemptStream::Deliver(std::vector<SseEvent> events) {
  heard_at_ = steady_clock::now();
  check_at_ = heard_at_ + options_.tuning.silent_after;
  doubtful_checks_ = 0;
  std::vector<SseEvent> ready;
  for (SseEvent& event : events)
    sequencer_.Offer(std::move(event), ready);
  if (!sequencer_.HasGap())
    gap_since_.reset();
  else if (!gap_since_)
    gap_since_ = heard_at_;
  for (const SseEvent& event : ready) {
    const ChunkInfo info = ReadChunk(event.data);
    usage_.completion += info.tokens;
    if (info.usage) {
      prompt_known_ = true;
      usage_.prompt = info.usage->prompt;
      usage_.completion = std::max(usage_.completion, info.usage->completion);
    }
    done_ = done_ || info.done;
  }
  if (!ready.empty())
    resumes_without_event_ = 0;
  return ready;
}

AttemptStream::Outcome AttemptStream::OnConnectionEnd(const ReadEnd& end) {
  if (starting_) {
    if (Outcome answer = OnStartAnswer(end))
      return answer;
  }
  if (end.kind == ReadEnd::Kind::kStatus && end.status == kNotFound)
    return End(StreamEnd::Kind::kCrashed);
  return Investigate();
}

AttemptStream::Outcome AttemptStream::OnStartAnswer(const ReadEnd& end) const {
  if (end.kind == ReadEnd::Kind::kNotConnected)
    return End(StreamEnd::Kind::kNotSent);
  if (end.kind != ReadEnd::Kind::kStatus)
    return std::nullopt;
  if (end.status == kTooManyRequests || end.status == kUnavailable ||
      end.status == kNotFound)
    return StreamEnd{StreamEnd::Kind::kRejected, end.status, end.body};
  if (end.status >= kFirstServerError)
    return StreamEnd{StreamEnd::Kind::kBroken, end.status, end.body};
  return StreamEnd{StreamEnd::Kind::kAnsweredError, end.status, end.body};
}

AttemptStream::Outcome AttemptStream::Investigate() {
  const base::MonoTime give_up =
      steady_clock::now() + options_.tuning.give_up_after;
  int refused = 0;
  while (steady_clock::now() < give_up) {
    const ProbeResult probe =
        ProbeAttempt(fiber_, options_.address, options_.attempt,
                     options_.tuning.probe_timeout);
    if (const auto* record = std::get_if<AttemptRecord>(&probe))
      return record->state == AttemptRecord::State::kCancelled
                 ? End(StreamEnd::Kind::kCancelled)
                 : Resume();
    if (std::holds_alternative<AttemptUnknown>(probe))
      return End(StreamEnd::Kind::kCrashed);
    if (std::holds_alternative<BackendDown>(probe) &&
        ++refused >= kMaxDoubtfulChecks)
      return End(StreamEnd::Kind::kCrashed);
    fiber_.SleepUntil(steady_clock::now() + kInvestigatePause);
  }
  return End(StreamEnd::Kind::kBroken);
}

AttemptStream::Outcome AttemptStream::CheckSilence(base::MonoTime now) {
  check_at_ = now + options_.tuning.silent_after;
  const ProbeResult probe =
      ProbeAttempt(fiber_, options_.address, options_.attempt,
                   options_.tuning.probe_timeout);
  if (const auto* record = std::get_if<AttemptRecord>(&probe)) {
    doubtful_checks_ = 0;
    const bool lags = record->state != AttemptRecord::State::kRunning ||
                      record->usage.completion > usage_.completion;
    if (!lags)
      return std::nullopt;
    // Events may be on their way: leave them a moment before moving.
    if (reader_->Wait(steady_clock::now() + kCatchUp))
      return std::nullopt;
    ++counts_.silent_moves;
    return Resume();
  }
  if (std::holds_alternative<NoAnswer>(probe))
    return now - heard_at_ > options_.tuning.give_up_after + kReadTimeout
               ? Outcome(End(StreamEnd::Kind::kBroken))
               : std::nullopt;
  if (++doubtful_checks_ < kMaxDoubtfulChecks)
    return std::nullopt;
  const bool was_seen = sequencer_.last() > 0;
  return End(was_seen ? StreamEnd::Kind::kCrashed : StreamEnd::Kind::kBroken);
}

}  // namespace dandelionmill::backend
