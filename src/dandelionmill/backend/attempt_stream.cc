#include "dandelionmill/backend/attempt_stream.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::backend {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kFirstServerError = 500;
// Consecutive resumes without a new event before the stream ends as broken.
constexpr int kMaxResumesWithoutEvent = 5;
// Number of probes that must find the backend server down, or on an open
// connection also the attempt unknown, before the stream ends.
constexpr int kMaxNegativeProbes = 2;
// How long a connection that lags behind the backend server's record may take
// to catch up before it is replaced.
constexpr milliseconds kCatchUpTimeout{100};
// Delay between probes after a lost connection.
constexpr milliseconds kProbeInterval{150};
// Time without data after which a reader closes its connection.
constexpr milliseconds kReadTimeout{5000};

StreamEnd MakeEnd(StreamEnd::Kind kind) {
  return {kind, 0, {}};
}

}  // namespace

AttemptStream::AttemptStream(net::Fiber& fiber, Options options)
    : fiber_(fiber),
      options_(std::move(options)),
      last_event_at_(steady_clock::now()) {
  if (options_.start) {
    starting_ = true;
    Open(*options_.start);
  } else {
    Resume();
  }
}

AttemptStream::~AttemptStream() = default;

void AttemptStream::Open(net::HttpClientRequest call) {
  reader_.reset();
  StreamReader::Options reader;
  reader.address = options_.address;
  reader.call = std::move(call);
  reader.read_timeout = kReadTimeout;
  reader_ = std::make_unique<StreamReader>(fiber_, std::move(reader));
  last_event_at_ = steady_clock::now();
  silence_check_at_ = last_event_at_ + options_.timeouts.silent_after;
  gap_since_.reset();
}

AttemptStream::Outcome AttemptStream::Resume() {
  if (++resumes_without_event_ > kMaxResumesWithoutEvent)
    return MakeEnd(StreamEnd::Kind::kBroken);
  starting_ = false;
  net::HttpClientRequest call;
  call.method = "GET";
  call.path = AttemptPath(options_.attempt) + "/events";
  if (sequencer_.last_sequence() > 0) {
    call.headers["Last-Event-ID"] = std::to_string(sequencer_.last_sequence());
    ++counts_.resumes;
  }
  Open(std::move(call));
  return std::nullopt;
}

AttemptStream::Step AttemptStream::Next(base::MonoTime deadline) {
  Step step;
  while (!step.end && step.events.empty()) {
    StreamReader::Batch batch = reader_->Take(NextWakeup(deadline));
    const base::MonoTime now = steady_clock::now();
    if (!batch.events.empty())
      step.events = ProcessEvents(std::move(batch.events));
    if (done_) {
      step.end = MakeEnd(StreamEnd::Kind::kCompleted);
    } else if (batch.end) {
      step.end = OnConnectionEnd(*batch.end);
    } else if (gap_since_ &&
               now >= *gap_since_ + options_.timeouts.gap_timeout) {
      step.end = Resume();
    } else if (step.events.empty() && now >= silence_check_at_) {
      step.end = ProbeSilentConnection(now);
    }
    if (now >= deadline)
      break;
  }
  return step;
}

base::MonoTime AttemptStream::NextWakeup(base::MonoTime deadline) const {
  base::MonoTime next = std::min(deadline, silence_check_at_);
  if (gap_since_)
    next = std::min(next, *gap_since_ + options_.timeouts.gap_timeout);
  return next;
}

std::vector<SseEvent> AttemptStream::ProcessEvents(
    std::vector<SseEvent> events) {
  last_event_at_ = steady_clock::now();
  silence_check_at_ = last_event_at_ + options_.timeouts.silent_after;
  negative_probes_ = 0;
  std::vector<SseEvent> ready;
  for (SseEvent& event : events)
    sequencer_.Add(std::move(event), ready);
  if (!sequencer_.HasGap())
    gap_since_.reset();
  else if (!gap_since_)
    gap_since_ = last_event_at_;
  for (const SseEvent& event : ready) {
    const ChunkInfo info = ParseChunk(event.data);
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
    if (Outcome outcome = OnStartResponse(end))
      return outcome;
  }
  if (end.kind == ReadEnd::Kind::kStatus && end.status == kNotFound)
    return MakeEnd(StreamEnd::Kind::kCrashed);
  return ProbeAfterDisconnect();
}

AttemptStream::Outcome AttemptStream::OnStartResponse(
    const ReadEnd& end) const {
  if (end.kind == ReadEnd::Kind::kNotConnected)
    return MakeEnd(StreamEnd::Kind::kNotSent);
  if (end.kind != ReadEnd::Kind::kStatus)
    return std::nullopt;
  if (end.status == kTooManyRequests || end.status == kServiceUnavailable ||
      end.status == kNotFound)
    return StreamEnd{StreamEnd::Kind::kRejected, end.status, end.body};
  if (end.status >= kFirstServerError)
    return StreamEnd{StreamEnd::Kind::kBroken, end.status, end.body};
  return StreamEnd{StreamEnd::Kind::kErrorResponse, end.status, end.body};
}

AttemptStream::Outcome AttemptStream::ProbeAfterDisconnect() {
  const base::MonoTime deadline =
      steady_clock::now() + options_.timeouts.give_up_after;
  int down_probes = 0;
  while (steady_clock::now() < deadline) {
    const ProbeResult probe =
        ProbeAttempt(fiber_, options_.address, options_.attempt,
                     options_.timeouts.probe_timeout);
    if (const auto* record = std::get_if<AttemptRecord>(&probe))
      return record->state == AttemptRecord::State::kCancelled
                 ? MakeEnd(StreamEnd::Kind::kCancelled)
                 : Resume();
    if (std::holds_alternative<AttemptUnknown>(probe))
      return MakeEnd(StreamEnd::Kind::kCrashed);
    if (std::holds_alternative<BackendDown>(probe) &&
        ++down_probes >= kMaxNegativeProbes)
      return MakeEnd(StreamEnd::Kind::kCrashed);
    fiber_.SleepUntil(steady_clock::now() + kProbeInterval);
  }
  return MakeEnd(StreamEnd::Kind::kBroken);
}

AttemptStream::Outcome AttemptStream::ProbeSilentConnection(
    base::MonoTime now) {
  silence_check_at_ = now + options_.timeouts.silent_after;
  const ProbeResult probe =
      ProbeAttempt(fiber_, options_.address, options_.attempt,
                   options_.timeouts.probe_timeout);
  if (const auto* record = std::get_if<AttemptRecord>(&probe)) {
    negative_probes_ = 0;
    const bool lags_behind = record->state != AttemptRecord::State::kRunning ||
                             record->usage.completion > usage_.completion;
    if (!lags_behind)
      return std::nullopt;
    // Events may still be in transit: wait briefly before reconnecting.
    if (reader_->Wait(steady_clock::now() + kCatchUpTimeout))
      return std::nullopt;
    ++counts_.silent_reconnects;
    return Resume();
  }
  if (std::holds_alternative<ProbeInconclusive>(probe))
    return now - last_event_at_ > options_.timeouts.give_up_after + kReadTimeout
               ? Outcome(MakeEnd(StreamEnd::Kind::kBroken))
               : std::nullopt;
  if (++negative_probes_ < kMaxNegativeProbes)
    return std::nullopt;
  const bool was_seen = sequencer_.last_sequence() > 0;
  return MakeEnd(was_seen ? StreamEnd::Kind::kCrashed
                          : StreamEnd::Kind::kBroken);
}

}  // namespace dandelionmill::backend
