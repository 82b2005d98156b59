#include "dandelionmill/gateway/caller_session.h"

#include <sys/socket.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16384;

// Bytes of pipelined requests that are read while a request is in progress.
constexpr std::size_t kMaxPipelinedBytes = 65536;

// Unwritten bytes of responses above which no further request of the connection
// is parsed, since a caller that does not read could queue any number.
constexpr std::size_t kMaxUnwrittenBytes = 65536;

// Input that is discarded at most before a refused connection is closed.
constexpr std::size_t kMaxDiscardedBytes = 4 << 20;

// Memory of a request in progress besides the request and its response: that of
// the exchange and of a connection to a backend server.
constexpr std::size_t kExchangeBytes = 32768;

// Time for a request to arrive on a connection that is open or free again,
// before the connection counts as idle.
constexpr std::chrono::milliseconds kMinIdleTime{200};

// Longest time to write the last response before the connection is closed.
constexpr std::chrono::milliseconds kResponseFlushTimeout{2000};

std::size_t CountFields(const http::fields& fields, http::field name) {
  const auto range = fields.equal_range(name);
  return static_cast<std::size_t>(std::distance(range.first, range.second));
}

const char* KindOf(const error_code& error) {
  return error == http::error::header_limit ? "head_too_long"
         : error == http::error::body_limit ? "body_too_long"
                                            : "malformed";
}

Refusal ToRefusal(const error_code& error) {
  if (error == http::error::header_limit) {
    return {431, base::Code::kMalformedRequest, base::Ran::kNo, std::nullopt,
            "the header fields are too long"};
  }
  if (error == http::error::body_limit) {
    return RefuseNotRun(base::Code::kBodyTooLarge, "the body is too long",
                        std::nullopt);
  }
  return RefuseNotRun(base::Code::kMalformedRequest, error.message(),
                      std::nullopt);
}

}  // namespace

std::optional<std::string> FindAmbiguity(const http::fields& fields) {
  const std::size_t length_fields =
      CountFields(fields, http::field::content_length);
  const std::size_t coding_fields =
      CountFields(fields, http::field::transfer_encoding);
  if (length_fields > 1 || coding_fields > 1 ||
      (length_fields > 0 && coding_fields > 0))
    return "more than one framing";
  if (coding_fields == 1 &&
      !boost::algorithm::iequals(fields[http::field::transfer_encoding],
                                 "chunked"))
    return "unknown transfer coding";
  if (CountFields(fields, http::field::host) != 1)
    return "not exactly one host";
  return std::nullopt;
}

CallerSession::CallerSession(GatewayContext& context,
                             asio::ip::tcp::socket socket,
                             std::function<void(CallerSession*)> on_closed)
    : context_(context),
      socket_(std::move(socket)),
      on_closed_(std::move(on_closed)),
      timer_(context.loop),
      memory_id_(context.memory.Add(*this)) {}

CallerSession::~CallerSession() = default;

void CallerSession::Start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  PrepareNextRequest();
}

void CallerSession::PrepareNextRequest() {
  if (is_closed_)
    return;
  if (context_.config)
    limits_ = context_.config->limits();
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
  parser_->body_limit(limits_.max_body_bytes);
  body_progress_.reset();
  framed_bytes_ = 0;
  idle_since_ = std::chrono::steady_clock::now();
  has_request_started_ = false;
  continue_sent_ = false;
  ArmTimeout(limits_.idle_timeout);
  if (buffer_.size() > 0)
    Parse();
  else if (!is_receiving_)
    Receive();
  UpdateMemory();
}

void CallerSession::Receive() {
  if (buffer_.size() == 0 && buffer_.capacity() > kReadBytes)
    buffer_.shrink_to_fit();
  is_receiving_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](error_code error, std::size_t count) {
        self->is_receiving_ = false;
        if (!self->is_closed_)
          self->OnReceived(error, count);
      });
}

void CallerSession::OnReceived(error_code error, std::size_t count) {
  if (error) {
    Close();
    return;
  }
  context_.overload.OnReceived(count);
  if (close_when_written_) {
    // The bytes are not committed to the buffer.
    discarded_bytes_ += count;
    if (discarded_bytes_ > kMaxDiscardedBytes)
      Close();
    else
      Receive();
    return;
  }
  buffer_.commit(count);
  if (!exchange_ && !is_next_deferred_)
    Parse();
  else if (buffer_.size() < kMaxPipelinedBytes)
    Receive();
  UpdateMemory();
}

void CallerSession::Parse() {
  if (!std::exchange(has_request_started_, true)) {
    request_began_at_ = std::chrono::steady_clock::now();
    ArmTimeout(limits_.header_timeout);
  }
  while (buffer_.size() > 0 && !parser_->is_done()) {
    error_code error;
    const bool had_head = parser_->is_header_done();
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      Reject(KindOf(error), ToRefusal(error));
      return;
    }
    // The parser consumes a chunk header or a trailer only as a whole.
    const std::size_t incomplete_framing_bytes =
        error == http::error::need_more ? buffer_.size() : 0;
    if (had_head && !CheckBody(used, incomplete_framing_bytes))
      return;
    if (!had_head && parser_->is_header_done()) {
      if (const auto ambiguity = FindAmbiguity(parser_->get())) {
        Reject("malformed", RefuseNotRun(base::Code::kMalformedRequest,
                                         *ambiguity, std::nullopt));
        return;
      }
      body_progress_.emplace(limits_.max_header_bytes,
                             std::chrono::steady_clock::now());
      ArmTimeout(BodyProgress::kInterval);
      if (!parser_->is_done() && buffer_.size() == 0 &&
          boost::algorithm::iequals(parser_->get()[http::field::expect],
                                    "100-continue") &&
          !std::exchange(continue_sent_, true))
        Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (error == http::error::need_more || (used == 0 && !error))
      break;
  }
  if (parser_->is_done()) {
    OnRequest();
    return;
  }
  if (!is_receiving_)
    Receive();
}

bool CallerSession::CheckBody(std::size_t consumed_bytes,
                              std::size_t incomplete_framing_bytes) {
  framed_bytes_ += consumed_bytes;
  body_progress_->OnReceived(framed_bytes_ + incomplete_framing_bytes,
                             parser_->get().body().size(),
                             incomplete_framing_bytes);
  if (!body_progress_->is_framing_too_long())
    return true;
  Reject("framing_too_long",
         {431, base::Code::kMalformedRequest, base::Ran::kNo, std::nullopt,
          "the chunk extensions or trailers are too long"});
  return false;
}

void CallerSession::OnRequest() {
  timer_.cancel();
  request_bytes_ = parser_->get().body().size() + kExchangeBytes;
  exchange_ = std::make_shared<Exchange>(
      context_, static_cast<ResponseWriter&>(*this), parser_->release());
  // Keeps reading to notice when the caller closes the connection.
  if (!is_receiving_ && buffer_.size() < kMaxPipelinedBytes)
    Receive();
  UpdateMemory();
  const auto exchange = exchange_;
  exchange->Start();
}

void CallerSession::Reject(const char* kind, const Refusal& refusal) {
  context_.metrics.OnLimitApplied(kind);
  if (const auto count =
          context_.limit_log.Count(kind, std::chrono::steady_clock::now())) {
    log::Event(log::Level::kInfo, "request_rejected")
        .With("kind", kind)
        .With("status", refusal.status)
        .With("code", static_cast<int>(refusal.code))
        .With("detail", refusal.detail)
        .With("count", *count);
  }
  close_when_written_ = true;
  parser_.reset();
  buffer_.clear();
  // A read in progress still uses the buffer.
  if (!is_receiving_)
    buffer_.shrink_to_fit();
  ArmTimeout(kResponseFlushTimeout);
  Send(ToHttpResponse(refusal, base::AttemptId(), true));
  UpdateMemory();
}

void CallerSession::CloseForLimit(const char* kind) {
  context_.metrics.OnLimitApplied(kind);
  if (const auto count =
          context_.limit_log.Count(kind, std::chrono::steady_clock::now())) {
    log::Event(log::Level::kInfo, "connection_dropped")
        .With("kind", kind)
        .With("held_bytes", context_.memory.budget().bytes())
        .With("count", *count);
  }
  Close();
}

void CallerSession::OnMemoryExceeded(MemoryBudget::Use use) {
  const auto self = shared_from_this();
  if (use == MemoryBudget::Use::kReceiving && IsReceiving()) {
    Reject("memory", RefuseNotRun(base::Code::kOverloaded,
                                  "the instance has no memory left for bodies",
                                  kRetryAfterOverload));
    return;
  }
  CloseForLimit("slow_reader");
}

void CallerSession::MakeWay() {
  const auto self = shared_from_this();
  if (IsReceiving()) {
    Reject("connections",
           RefuseNotRun(base::Code::kOverloaded,
                        "the instance has too many connections", kRetryAtOnce));
    // The descriptor is needed at once.
    Close();
    return;
  }
  CloseForLimit("connections");
}

bool CallerSession::IsIdle() const {
  return !exchange_ && !has_request_started_ && !is_writing_;
}

bool CallerSession::IsReceiving() const {
  return !exchange_ && has_request_started_ && !close_when_written_;
}

void CallerSession::OnResponseBuffered(std::size_t bytes) {
  if (response_bytes_ == bytes)
    return;
  response_bytes_ = bytes;
  UpdateMemory();
}

void CallerSession::UpdateMemory() {
  if (is_closed_)
    return;
  std::size_t bytes =
      buffer_.capacity() + queued_.capacity() + writing_.capacity();
  MemoryBudget::Use use = MemoryBudget::Use::kOther;
  base::MonoTime since{};
  if (exchange_)
    bytes += request_bytes_ + response_bytes_;
  else if (parser_)
    bytes += parser_->get().body().size();
  if (is_writing_) {
    use = MemoryBudget::Use::kSending;
    since = written_at_;
  } else if (IsReceiving()) {
    use = MemoryBudget::Use::kReceiving;
    since = request_began_at_;
  }
  context_.memory.Set(memory_id_, use, bytes, since);
}

void CallerSession::ArmTimeout(std::chrono::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->is_closed_)
      self->OnTimeout();
  });
}

void CallerSession::OnTimeout() {
  if (exchange_)
    return;
  if (close_when_written_) {
    Close();
    return;
  }
  const base::MonoTime now = std::chrono::steady_clock::now();
  if (is_writing_ && !IsReceiving()) {
    if (now - written_at_ >= limits_.idle_timeout)
      CloseForLimit("slow_reader");
    else
      ArmTimeout(limits_.idle_timeout);
    return;
  }
  if (!has_request_started_) {
    CloseIfIdle();
    return;
  }
  OnBodyTimeout(now);
}

void CallerSession::OnBodyTimeout(base::MonoTime now) {
  if (body_progress_ &&
      !body_progress_->IsTooSlow(now, context_.memory.budget().is_tight())) {
    ArmTimeout(std::chrono::ceil<std::chrono::milliseconds>(
        body_progress_->next_check() - now));
    return;
  }
  Reject("too_slow", RefuseNotRun(base::Code::kTimeout,
                                  "the request came too slowly", std::nullopt));
}

void CallerSession::Send(std::string bytes) {
  if (is_closed_)
    return;
  if (queued_.empty())
    queued_ = std::move(bytes);
  else
    queued_ += bytes;
  if (!is_writing_)
    Write();
  UpdateMemory();
}

void CallerSession::Write() {
  is_writing_ = true;
  writing_ = std::exchange(queued_, std::string());
  written_ = 0;
  written_at_ = std::chrono::steady_clock::now();
  context_.overload.OnSent(writing_.size());
  WriteSome();
}

void CallerSession::WriteSome() {
  socket_.async_write_some(
      asio::buffer(writing_) + written_,
      [self = shared_from_this()](error_code error, std::size_t count) {
        self->OnWritten(error, count);
      });
}

void CallerSession::OnWritten(error_code error, std::size_t count) {
  if (is_closed_) {
    is_writing_ = false;
    return;
  }
  if (error) {
    is_writing_ = false;
    Close();
    return;
  }
  written_ += count;
  written_at_ = std::chrono::steady_clock::now();
  if (written_ < writing_.size()) {
    WriteSome();
    UpdateMemory();
    return;
  }
  is_writing_ = false;
  writing_ = std::string();
  written_ = 0;
  if (!queued_.empty())
    Write();
  else if (close_when_written_)
    CloseAfterInput();
  else if (exchange_)
    exchange_->OnResponseFlushed();
  else if (std::exchange(is_next_deferred_, false))
    PrepareNextRequest();
  UpdateMemory();
}

void CallerSession::CloseAfterInput() {
  // Only after a refusal, which ends the parser, is input still to come.
  if (parser_ || context_.is_shutting_down) {
    Close();
    return;
  }
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  // OnTimeout closes the connection if the caller does not.
  if (!is_receiving_)
    Receive();
}

void CallerSession::EndResponse(bool keep_connection) {
  // Deferred, since the exchange is still on the call stack.
  asio::post(context_.loop, [self = shared_from_this(), keep_connection] {
    if (self->is_closed_)
      return;
    self->exchange_.reset();
    self->request_bytes_ = self->response_bytes_ = 0;
    if (keep_connection && self->queued_bytes() > kMaxUnwrittenBytes) {
      self->is_next_deferred_ = true;
      self->has_request_started_ = false;
      self->ArmTimeout(self->limits_.idle_timeout);
      self->UpdateMemory();
      return;
    }
    if (keep_connection) {
      self->PrepareNextRequest();
      return;
    }
    self->close_when_written_ = true;
    self->ArmTimeout(kResponseFlushTimeout);
    if (!self->is_writing_)
      self->Close();
    self->UpdateMemory();
  });
}

void CallerSession::Abort() {
  asio::post(context_.loop, [self = shared_from_this()] { self->Close(); });
}

bool CallerSession::HasCallerLeft() {
  char byte = 0;
  const ssize_t count =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool CallerSession::HasUnreadBytes() {
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CallerSession::CloseIfIdle() {
  const bool is_idle =
      IsIdle() &&
      std::chrono::steady_clock::now() - idle_since_ >= kMinIdleTime;
  if (is_idle && !HasUnreadBytes())
    Close();
}

void CallerSession::Shutdown() {
  if (exchange_) {
    const auto exchange = exchange_;
    exchange->OnShutdown();
  } else if (has_request_started_ && !close_when_written_) {
    Reject("shutdown",
           RefuseNotRun(base::Code::kLeaving, "the instance is shutting down",
                        kRetryAtOnce));
  } else {
    CloseIfIdle();
  }
}

void CallerSession::Close() {
  if (std::exchange(is_closed_, true))
    return;
  timer_.cancel();
  context_.memory.Remove(memory_id_);
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  if (const auto exchange = std::exchange(exchange_, nullptr))
    exchange->OnCallerDisconnected();
  on_closed_(this);
}

}  // namespace dandelionmill::gateway
