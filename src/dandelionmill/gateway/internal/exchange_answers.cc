#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <utility>

#include "dandelionmill/gateway/exchange.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/headers.h"

// The answers of an exchange: what a backend server sends and what of it the
// caller gets.
namespace dandelionmill::gateway {
namespace {

namespace http = boost::beast::http;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Bytes of an answer that are held back until it is complete, so that a broken
// one can be fetched again. Longer ones are passed on as they come.
constexpr std::size_t kMaxHeldBytes = 1 << 20;

// Bytes that the caller has not taken, above which the backend server is not
// read.
constexpr std::size_t kMaxQueuedBytes = 256 << 10;

// Returns whether `id` is a number not above `last`.
bool IsRepeated(const std::string& id, const std::string& last) {
  std::uint64_t a = 0;
  std::uint64_t b = 0;
  const auto first = std::from_chars(id.data(), id.data() + id.size(), a);
  const auto second =
      std::from_chars(last.data(), last.data() + last.size(), b);
  return first.ec == std::errc() && second.ec == std::errc() && a <= b;
}

}  // namespace

void Exchange::OnHead(int status,
                      const http::fields& fields,
                      const AnswerTerms& terms) {
  const base::MonoTime now = steady_clock::now();
  status_ = status;
  answer_ = terms;
  fields_ = fields;
  core_.placement.OnAlive(backend_->id, now);
  if (terms.load)
    core_.placement.OnLoad(backend_->id, *terms.load, now);
  is_event_stream_ =
      status == 200 && IsStream(route_->kind) &&
      boost::algorithm::istarts_with(fields[http::field::content_type],
                                     "text/event-stream");
}

void Exchange::OnBody(std::string_view bytes) {
  core_.placement.OnAlive(backend_->id, steady_clock::now());
  const bool is_success = status_ >= 200 && status_ < 300;
  if (is_success && !answer_.has_signature)
    return;
  if (is_event_stream_) {
    RelayEvents(bytes);
    return;
  }
  body_.append(bytes);
  if (body_.size() <= kMaxHeldBytes || answer_.not_executed ||
      (head_sent_ && !is_chunked_))
    return;
  if (!head_sent_)
    SendHead(true, 0);
  SendChunk(body_);
  body_.clear();
}

void Exchange::RelayEvents(std::string_view bytes) {
  std::vector<FramedEvent> events;
  if (!framer_.Feed(bytes, events)) {
    OnBroken("an event is too long");
    return;
  }
  if (events.empty())
    return;
  const base::MonoTime now = steady_clock::now();
  if (std::exchange(prompt_open_, false)) {
    core_.placement.OnFirstEvent(backend_->id, choice_.uncached_tokens,
                                 duration_cast<milliseconds>(now - sent_at_),
                                 choice_.expected_wait, now);
  }
  if (events_ == 0) {
    first_event_at_ = now;
    core_.metrics.OnFirstEvent(ToString(route_->kind),
                               duration_cast<milliseconds>(now - begun_));
  }
  last_event_at_ = now;
  std::string chunk;
  for (FramedEvent& event : events) {
    if (!event.id.empty() && !last_event_id_.empty() &&
        IsRepeated(event.id, last_event_id_))
      continue;
    if (!event.id.empty())
      last_event_id_ = event.id;
    chunk += event.bytes;
    ++events_;
  }
  if (!head_sent_)
    SendHead(true, 0);
  SendChunk(chunk);
  if (caller_->queued_bytes() > kMaxQueuedBytes && call_)
    call_->Pause();
}

void Exchange::SendHead(bool chunked, std::size_t length) {
  head_sent_ = true;
  head_status_ = status_;
  is_chunked_ = chunked;
  const auto reason = http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(status_)));
  std::string head = "HTTP/1.1 " + std::to_string(status_) + " " +
                     std::string(reason) + "\r\n";
  platform::AppendAnswerFields(fields_, head);
  const bool has_no_body = status_ == 204 || status_ == 304;
  if (chunked)
    head += "Transfer-Encoding: chunked\r\n";
  else if (request_.method() == http::verb::head)
    head +=
        "Content-Length: " + std::string(fields_[http::field::content_length]) +
        "\r\n";
  else if (!has_no_body)
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  if (!caller_keeps_connection_ || core_.ShedsConnections())
    head += "Connection: close\r\n";
  caller_->Send(head + "\r\n");
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
  caller_->Send(std::move(chunk));
}

void Exchange::OnComplete() {
  const bool is_success = status_ >= 200 && status_ < 300;
  if (is_success && !answer_.has_signature) {
    OnBroken("a success without proof of the run");
    return;
  }
  if (is_event_stream_ && framer_.unfinished_bytes() > 0) {
    OnBroken("the stream ends within an event");
    return;
  }
  call_.reset();
  if (answer_.not_executed) {
    EndAttempt(AttemptEnd::kRejected);
    OnRejected();
    return;
  }
  EndAttempt(status_ >= 500 ? AttemptEnd::kFailed : AttemptEnd::kAnswered);
  core_.guard.OnCompleted(digest_);
  if (is_event_stream_) {
    if (!head_sent_)
      SendHead(true, 0);
    caller_->Send("0\r\n\r\n");
    Finish("answered", status_, 0, "");
    return;
  }
  if (events_ > 0) {
    // A resumed stream was answered with something else.
    may_have_run_ = true;
    TryAgainOr(FailAfterRun(base::Code::kAnswerIncomplete, 502,
                            "the stream could not be continued"));
    return;
  }
  if (status_ >= 500)
    OnFailureStatus();
  else
    RelayWhole();
}

void Exchange::OnRejected() {
  {
    log::Event event(log::Level::kInfo, "attempt_rejected");
    WithChoice(event).With("status", status_);
  }
  if (answer_.is_other_backend) {
    core_.directory.Discard(backend_->id);
    core_.pool.Drop(backend_->id);
  }
  if (may_have_run_) {
    TryAgainOr(FailAfterRun(base::Code::kBackendFailed, 502,
                            "the backend servers did not answer"));
    return;
  }
  if (MayTryAgain()) {
    Place();
    return;
  }
  Refuse(answer_.is_other_backend
             ? RefuseNotRun(base::Code::kNoBackend,
                            "the backend server has been replaced",
                            kRetryElsewhere)
             : RefuseNotRun(base::Code::kOverloaded,
                            "the backend servers are full", kRetryWhenFull));
}

void Exchange::OnFailureStatus() {
  may_have_run_ = true;
  if (MayRunAgain(route_->kind) && !head_sent_ && MayTryAgain()) {
    {
      log::Event event(log::Level::kInfo, "attempt_failed");
      WithChoice(event).With("status", status_);
    }
    Place();
    return;
  }
  RelayWhole();
}

void Exchange::RelayWhole() {
  if (!head_sent_) {
    SendHead(false, body_.size());
    if (request_.method() != http::verb::head)
      caller_->Send(std::move(body_));
  } else {
    SendChunk(body_);
    caller_->Send("0\r\n\r\n");
  }
  Finish("answered", status_, 0, "");
}

void Exchange::OnBroken(const std::string& reason) {
  const base::MonoTime now = steady_clock::now();
  {
    log::Event event(log::Level::kInfo, "attempt_broken");
    WithChoice(event)
        .With("reason", reason)
        .With("events", events_)
        .With("after", duration_cast<milliseconds>(now - sent_at_));
  }
  may_have_run_ = true;
  core_.guard.OnBroken(digest_, backend_->id, now);
  EndAttempt(AttemptEnd::kBroken);
  // Tells a crash from a lost connection, and gives later requests one.
  core_.pool.Connect(*backend_, [&core = core_, backend = *backend_](
                                    ConnectionPool::Result result) {
    const base::MonoTime at = steady_clock::now();
    if (auto* connection = std::get_if<BackendConnectionPtr>(&result))
      core.pool.Keep(backend, std::move(*connection), at);
    else if (std::get<ConnectFailure>(result) == ConnectFailure::kRefused)
      core.guard.OnRefused(backend.id, at);
  });
  TryAgainOr(FailAfterRun(base::Code::kBackendFailed, 502,
                          "the backend server broke off"));
}

}  // namespace dandelionmill::gateway
