#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <utility>

#include "dandelionmill/gateway/exchange.h"
#include "dandelionmill/gateway/internal/response_end.h"
#include "dandelionmill/gateway/response_observer.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/headers.h"

// The response side of an exchange: handles the responses of backend servers
// and relays them to the caller.
namespace dandelionmill::gateway {
namespace {

namespace http = boost::beast::http;
using internal::EndsWithConnection;
using internal::ProbeBackend;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Responses up to this size in bytes are buffered until they are complete, so
// that a broken one can be retried. A longer success is relayed as it arrives;
// any other longer response counts as broken.
constexpr std::size_t kMaxBufferedBytes = 1 << 20;

// Unwritten bytes for the caller above which reading from the backend server is
// paused.
constexpr std::size_t kMaxQueuedBytes = 256 << 10;

// Both limits while little is left of the instance's memory budget.
constexpr std::size_t kTightBytes = 64 << 10;

// Returns whether both ids are numbers and `id` is not above `last_sent`.
bool IsAlreadySent(const std::string& id, const std::string& last_sent) {
  std::uint64_t a = 0;
  std::uint64_t b = 0;
  const auto first = std::from_chars(id.data(), id.data() + id.size(), a);
  const auto second =
      std::from_chars(last_sent.data(), last_sent.data() + last_sent.size(), b);
  return first.ec == std::errc() && second.ec == std::errc() && a <= b;
}

}  // namespace

void Exchange::OnHead(int status,
                      const http::fields& fields,
                      const ResponseMetadata& metadata) {
  const base::MonoTime now = steady_clock::now();
  response_status_ = status;
  response_metadata_ = metadata;
  response_fields_ = fields;
  BackendProcess process;
  process.listed = backend_->incarnation;
  if (is_writer_reported_)
    process.reported = answering_incarnation_;
  process.connected_at = beginning_.connected_at;
  process.address = backend_->address;
  ObserveResponse(
      context_, {*backend_, process, metadata, chosen_at_, sent_at_},
      [this](log::Event& event) { AddPlacementFields(event); }, now);
  is_event_stream_ =
      status == 200 && IsStream(route_->kind) &&
      boost::algorithm::istarts_with(fields[http::field::content_type],
                                     "text/event-stream");
  const bool is_success = status >= 200 && status < 300;
  if (is_success && !metadata.has_signature)
    OnBroken("successful response without a signature");
  else if (is_success && service_->engine && EndsWithConnection(fields))
    IdentifyWriter();
}

void Exchange::OnBody(std::string_view bytes) {
  context_.placement.OnBytesReceived(backend_->id, steady_clock::now());
  if (EndsWithConnection(response_fields_))
    is_body_old_ = IsReadingLate();
  if (is_event_stream_) {
    RelayEvents(bytes);
    return;
  }
  response_body_.append(bytes);
  const bool is_success = response_status_ >= 200 && response_status_ < 300;
  const bool is_tight = is_success && !response_metadata_.not_executed &&
                        event_count_ == 0 &&
                        context_.memory.budget().is_tight();
  if (response_body_.size() <= (is_tight ? kTightBytes : kMaxBufferedBytes)) {
    response_writer_->OnResponseBuffered(response_body_.capacity());
    return;
  }
  // Such a body is never relayed after events.
  if (!is_success || response_metadata_.not_executed || event_count_ > 0) {
    OnBroken("the response exceeds the size limit");
    return;
  }
  if (!is_head_sent_)
    SendHead(true, 0);
  SendChunk(response_body_);
  // Releases the memory, which clear() does not.
  response_body_ = std::string();
  response_writer_->OnResponseBuffered(0);
  PauseIfQueueIsLong();
}

void Exchange::RelayEvents(std::string_view bytes) {
  std::vector<FramedEvent> events;
  if (!framer_.Feed(bytes, events)) {
    OnBroken("an event exceeds the size limit");
    return;
  }
  response_writer_->OnResponseBuffered(framer_.unfinished_bytes());
  if (events.empty())
    return;
  const base::MonoTime now = steady_clock::now();
  if (attempt_first_event_at_ == base::MonoTime())
    attempt_first_event_at_ = now;
  if (!is_answering_ &&
      now - attempt_first_event_at_ >= CrashGuard::kAnsweringProof) {
    is_answering_ = true;
    context_.crash_guard.OnAnswering(crash_traits_, now);
  }
  if (std::exchange(is_prompt_pending_, false)) {
    context_.placement.OnFirstEvent(*backend_, choice_.uncached_tokens,
                                    duration_cast<milliseconds>(now - sent_at_),
                                    choice_.expected_wait, now);
  }
  if (event_count_ == 0) {
    first_event_at_ = now;
    if (!resumed_version_ && route_->kind == RequestKind::kResumableStream)
      RecordBeginning(now);
    context_.metrics.OnFirstEvent(
        ToString(route_->kind), duration_cast<milliseconds>(now - started_at_));
  }
  last_event_at_ = now;
  std::string chunk;
  for (FramedEvent& event : events) {
    if (!event.id.empty() && !last_event_id_.empty() &&
        IsAlreadySent(event.id, last_event_id_))
      continue;
    if (!event.id.empty())
      last_event_id_ = event.id;
    chunk += event.bytes;
    ++event_count_;
  }
  if (!is_head_sent_)
    SendHead(true, 0);
  SendChunk(chunk);
  PauseIfQueueIsLong();
}

void Exchange::RecordBeginning(base::MonoTime now) {
  // A restart may have been listed since the backend server was chosen.
  const BackendEntry* listed = context_.directory.Find(backend_->id);
  if (!beginning_.is_reported && listed != nullptr &&
      listed->software_version != beginning_.version)
    beginning_.version.reset();
  context_.stream_records.OnBegun(request_metadata_.attempt, beginning_, now);
}

void Exchange::PauseIfQueueIsLong() {
  const std::size_t limit =
      context_.memory.budget().is_tight() ? kTightBytes : kMaxQueuedBytes;
  if (response_writer_->queued_bytes() > limit && call_) {
    call_->Pause();
    if (!paused_at_)
      paused_at_ = base::BootClock::now();
  }
}

void Exchange::SendHead(bool chunked, std::size_t length) {
  is_head_sent_ = true;
  sent_status_ = response_status_;
  const auto reason = http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(response_status_)));
  std::string head = "HTTP/1.1 " + std::to_string(response_status_) + " " +
                     std::string(reason) + "\r\n";
  platform::AppendResponseFields(response_fields_, head);
  const bool has_no_body = response_status_ == 204 || response_status_ == 304;
  if (chunked)
    head += "Transfer-Encoding: chunked\r\n";
  else if (request_.method() == http::verb::head)
    head += "Content-Length: " +
            std::string(response_fields_[http::field::content_length]) + "\r\n";
  else if (!has_no_body)
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  DecideConnection();
  if (!caller_keeps_connection_)
    head += "Connection: close\r\n";
  response_writer_->Send(head + "\r\n");
}

void Exchange::SendChunk(std::string_view bytes) {
  if (bytes.empty())
    return;
  char size[24];
  const auto end =
      std::to_chars(size, size + sizeof(size), bytes.size(), 16).ptr;
  std::string chunk(size, end);
  chunk += "\r\n";
  chunk += bytes;
  chunk += "\r\n";
  response_writer_->Send(std::move(chunk));
}

void Exchange::OnComplete() {
  if (is_event_stream_ && framer_.unfinished_bytes() > 0) {
    OnBroken("the stream ended within an event");
    return;
  }
  if (response_metadata_.not_executed) {
    call_.reset();
    EndAttempt(AttemptEnd::kRejected);
    OnRejected();
    return;
  }
  if (response_status_ < 300 && EndsWithConnection(response_fields_) &&
      response_status_ != 204 && request_.method() != http::verb::head) {
    ConfirmEnd();
    return;
  }
  FinishResponse();
}

void Exchange::FinishResponse() {
  call_.reset();
  EndAttempt(response_status_ >= 500 ? AttemptEnd::kFailed
                                     : AttemptEnd::kAnswered);
  // A response that ends with its connection may have been cut short.
  if (!EndsWithConnection(response_fields_))
    context_.crash_guard.OnCompleted(crash_traits_, steady_clock::now());
  if (is_event_stream_) {
    if (!is_head_sent_)
      SendHead(true, 0);
    response_writer_->Send("0\r\n\r\n");
    CompleteRequest("answered", response_status_, 0, "");
    return;
  }
  if (event_count_ > 0) {
    // The response to a resumed stream is not an event stream.
    may_have_run_ = true;
    RetryOrRefuse(FailMaybeRun(base::Code::kAnswerIncomplete, 502,
                               "the stream could not be continued"));
    return;
  }
  if (response_status_ >= 500)
    OnFailureStatus();
  else
    RelayBufferedResponse();
}

void Exchange::OnRejected() {
  {
    log::Event event(log::Level::kInfo, "attempt_rejected");
    AddPlacementFields(event).With("status", response_status_);
  }
  if (response_metadata_.is_other_backend) {
    NoteConnectionLost();
    context_.directory.Discard(backend_->id);
    context_.pool.CloseIdle(backend_->id);
  }
  if (may_have_run_) {
    RetryOrRefuse(FailMaybeRun(base::Code::kBackendFailed, 502,
                               "the backend servers did not answer"));
    return;
  }
  if (TryTakeRetry()) {
    StartAttempt();
    return;
  }
  if (response_metadata_.is_other_backend) {
    Refuse(RefuseNotRun(base::Code::kNoBackend,
                        "the backend server has been replaced", kRetryAtOnce));
    return;
  }
  const base::MonoTime now = steady_clock::now();
  const auto until_admitted =
      TimeUntilAdmitted(context_.directory.Usable(service_->id, now), now);
  // Another backend server may have room now if only this one wants a pause.
  const bool is_other_free = response_metadata_.pause && until_admitted &&
                             until_admitted->count() == 0;
  Refuse(RefuseNotRun(
      base::Code::kOverloaded, "the backend servers are full",
      is_other_free ? kRetryAtOnce
                    : std::max(until_admitted.value_or(kRetryAfterOverload),
                               kRetryAfterOverload)));
}

void Exchange::OnFailureStatus() {
  may_have_run_ = true;
  if (IsRetryable(route_->kind) && !is_head_sent_ && TryTakeRetry()) {
    {
      log::Event event(log::Level::kInfo, "attempt_failed");
      AddPlacementFields(event).With("status", response_status_);
    }
    StartAttempt();
    return;
  }
  RelayBufferedResponse();
}

void Exchange::RelayBufferedResponse() {
  if (!is_head_sent_) {
    SendHead(false, response_body_.size());
    if (request_.method() != http::verb::head)
      response_writer_->Send(std::move(response_body_));
  } else {
    SendChunk(response_body_);
    response_writer_->Send("0\r\n\r\n");
  }
  CompleteRequest("answered", response_status_, 0, "");
}

void Exchange::OnBroken(const std::string& reason) {
  const base::MonoTime now = steady_clock::now();
  {
    log::Event event(log::Level::kInfo, "attempt_broken");
    AddPlacementFields(event)
        .With("reason", reason)
        .With("events", event_count_)
        .With("after", duration_cast<milliseconds>(now - sent_at_))
        .With("answering_ms",
              attempt_first_event_at_ == base::MonoTime()
                  ? milliseconds(-1)
                  : duration_cast<milliseconds>(now - attempt_first_event_at_))
        .With("parts", boost::algorithm::join(crash_traits_.parts, ","))
        .With("request_digest", crash_traits_.digest);
  }
  may_have_run_ = true;
  is_confirming_end_ = false;
  NoteConnectionLost();
  context_.crash_guard.OnAttemptBroken({crash_traits_, backend_->id, sent_at_,
                                        is_answering_, now,
                                        answering_incarnation_});
  EndAttempt(AttemptEnd::kBroken);
  // A new connection distinguishes a crash from a lost connection, unless the
  // backend server is back by then as another process. If it succeeds, later
  // requests reuse it.
  std::optional<std::int64_t> writer;
  if (service_->engine && IsWriterKnown())
    writer = answering_incarnation_;
  ProbeBackend(
      context_, *backend_, relay_,
      [&context = context_, backend = *backend_, writer,
       is_relayed = relay_.has_value()](ConnectionPool::Result result) {
        const base::MonoTime connected_at = steady_clock::now();
        auto* connection = std::get_if<BackendConnectionPtr>(&result);
        if (connection != nullptr && writer)
          context.connector.OnReconnected(backend, *writer,
                                          std::move(*connection));
        else if (connection != nullptr)
          context.pool.PutIdle(backend, std::move(*connection), connected_at);
        else if (std::get<ConnectFailure>(result) != ConnectFailure::kRefused)
          return;
        else if (is_relayed)
          context.crash_guard.OnConnectionRefused(backend.id, connected_at);
        else
          context.connector.OnConnectionRefused(backend, connected_at);
      });
  RetryOrRefuse(FailMaybeRun(base::Code::kBackendFailed, 502,
                             "the backend server broke off"));
}

}  // namespace dandelionmill::gateway
