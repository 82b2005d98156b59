#include "dandelionmill/gateway/backend_call.h"

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "dandelionmill/gateway/response_status.h"
#include "dandelionmill/gateway/socket_options.h"
#include "dandelionmill/platform/headers.h"

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16384;
constexpr std::uint32_t kMaxHeadBytes = 65536;

// Bytes of a chunk header or a trailer. With one read they stay below 65,533:
// the parser throws on a longer name or value of a field.
constexpr std::size_t kMaxFramingBytes = 32768;

// Responses to earlier requests that are skipped on one connection before it is
// closed.
constexpr int kMaxStaleResponses = 2;

// Body bytes of such responses that are skipped on one connection before it is
// closed.
constexpr std::size_t kMaxStaleBytes = 1 << 20;

// Interim (1xx) responses that are skipped before the connection is closed.
constexpr int kMaxInterimResponses = 16;

// Interval of the checks whether the backend server has received the request.
constexpr std::chrono::milliseconds kDeliveryCheckInterval{10};

// Longest time to write the rest of a request that has its response. The body
// stays in memory until then.
constexpr std::chrono::milliseconds kRestOfRequestTimeout{5000};

// Whether the body has a transfer coding other than chunked, which no request
// has allowed, or is framed in two ways.
bool IsFramingInvalid(const http::fields& fields) {
  const auto codings = fields.equal_range(http::field::transfer_encoding);
  if (codings.first == codings.second)
    return false;
  return std::next(codings.first) != codings.second ||
         !boost::algorithm::iequals(codings.first->value(), "chunked") ||
         fields.count(http::field::content_length) > 0;
}

}  // namespace

BackendCall::BackendCall(ConnectionPool& pool,
                         OverloadDetector& overload,
                         const BackendEntry& backend,
                         BackendConnectionPtr connection,
                         Listener& listener,
                         base::AttemptId attempt,
                         bool is_head_request)
    : pool_(pool),
      overload_(overload),
      backend_(backend),
      connection_(std::move(connection)),
      listener_(&listener),
      attempt_(std::move(attempt)),
      is_head_request_(is_head_request),
      is_reused_(connection_->is_reused),
      timer_(connection_->socket.get_executor()) {
  ResetParser();
}

void BackendCall::ResetParser() {
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->skip(is_head_request_);
  has_reported_head_ = false;
  is_stale_response_ = false;
}

void BackendCall::Run(std::string head,
                      const std::string& body,
                      std::shared_ptr<const void> body_owner) {
  request_head_ = std::move(head);
  overload_.OnSent(request_head_.size() + body.size());
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(request_head_),
                                                   asio::buffer(body)};
  asio::async_write(
      connection_->socket, parts,
      [self = shared_from_this(), owner = std::move(body_owner)](
          error_code error, std::size_t) { self->OnRequestWritten(error); });
  Receive();
}

void BackendCall::OnRequestWritten(error_code error) {
  is_request_written_ = !error;
  if (listener_ != nullptr && error) {
    Fail("write: " + error.message());
  } else if (listener_ == nullptr && is_complete_) {
    timer_.cancel();
    ReleaseConnection();
  }
}

void BackendCall::Resume() {
  if (!is_paused_)
    return;
  is_paused_ = false;
  if (listener_ != nullptr && !is_receiving_)
    Receive();
}

void BackendCall::Abandon() {
  listener_ = nullptr;
  if (connection_)
    Close();
}

void BackendCall::Close() {
  can_reuse_ = false;
  timer_.cancel();
  error_code ignored;
  // The object stays, since a write may still be in progress on the socket.
  connection_->socket.close(ignored);
}

void BackendCall::Receive() {
  is_receiving_ = true;
  connection_->socket.async_read_some(
      connection_->buffer.prepare(kReadBytes),
      [self = shared_from_this()](error_code error, std::size_t count) {
        self->OnReceived(error, count);
      });
}

void BackendCall::OnReceived(error_code error, std::size_t count) {
  is_receiving_ = false;
  if (listener_ == nullptr)
    return;
  if (error == asio::error::eof && has_reported_head_ && parser_->need_eof() &&
      !is_stale_response_) {
    OnBodyEnded();
    return;
  }
  if (error) {
    Fail("read: " + error.message());
    return;
  }
  connection_->buffer.commit(count);
  overload_.OnReceived(count);
  if (!Parse())
    return;
  // The parser consumes a chunk header or a trailer only as a whole, and has no
  // limit for them. It limits the head itself.
  if (parser_->is_header_done() &&
      connection_->buffer.size() > kMaxFramingBytes) {
    Fail("response: the chunk framing exceeds the size limit");
    return;
  }
  if (!is_paused_)
    Receive();
}

bool BackendCall::Parse() {
  for (;;) {
    if (!parser_->is_header_done()) {
      error_code error;
      const std::size_t used = parser_->put(connection_->buffer.data(), error);
      connection_->buffer.consume(used);
      if (error == http::error::need_more)
        return true;
      if (error) {
        Fail("response: " + error.message());
        return false;
      }
      if (!parser_->is_header_done())
        return true;
    }
    if (!has_reported_head_ && !is_stale_response_ && !OnHeadParsed())
      return false;
    if (!parser_->is_done() && !ParseBody())
      return false;
    if (!parser_->is_done())
      return true;
    if (!is_stale_response_ && parser_->get().result_int() >= 200) {
      Complete();
      return false;
    }
    // An interim (1xx) response, or one to an earlier request.
    if (!is_stale_response_ &&
        ++interim_response_count_ > kMaxInterimResponses) {
      Fail("too many interim responses");
      return false;
    }
    ResetParser();
    if (connection_->buffer.size() == 0)
      return true;
  }
}

bool BackendCall::OnHeadParsed() {
  const auto& message = parser_->get();
  const int status = static_cast<int>(message.result_int());
  const StatusKind kind = KindOfStatus(message.result_int());
  if (kind == StatusKind::kInterim)
    return true;
  if (kind == StatusKind::kInvalid) {
    Fail("response: status " + std::to_string(status) + " is not valid");
    return false;
  }
  if (IsFramingInvalid(message)) {
    Fail("response: the framing of the body is not valid");
    return false;
  }
  const ResponseMetadata metadata =
      platform::DecodeResponseMetadata(status, message);
  if (!metadata.attempt.empty() && metadata.attempt != attempt_) {
    is_stale_response_ = true;
    if (++stale_response_count_ <= kMaxStaleResponses && !parser_->need_eof())
      return true;
    Fail("response to another request");
    return false;
  }
  if (metadata.idle_timeout)
    connection_->idle_timeout = *metadata.idle_timeout;
  has_reported_head_ = true;
  listener_->OnHead(status, message, metadata);
  return listener_ != nullptr;
}

bool BackendCall::ParseBody() {
  std::array<char, kReadBytes> scratch;
  while (connection_->buffer.size() > 0 && !parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = scratch.data();
    body.size = scratch.size();
    error_code error;
    const std::size_t used = parser_->put(connection_->buffer.data(), error);
    connection_->buffer.consume(used);
    const std::size_t produced = scratch.size() - body.size;
    if (is_stale_response_) {
      stale_bytes_ += produced;
      if (stale_bytes_ > kMaxStaleBytes) {
        Fail("response to another request exceeds the size limit");
        return false;
      }
    } else if (produced > 0) {
      listener_->OnBody(std::string_view(scratch.data(), produced));
      if (listener_ == nullptr)
        return false;
    }
    if (error == http::error::need_more)
      return true;
    if (error && error != http::error::need_buffer) {
      Fail("response: " + error.message());
      return false;
    }
    if (used == 0 && produced == 0)
      return true;
  }
  return true;
}

void BackendCall::OnBodyEnded() {
  // A success that ends before its request has been received is whole only if
  // the backend server reads on: one that has crashed or closed the connection
  // resets it when more of the request arrives.
  if (IsSuccess(parser_->get().result_int())) {
    const auto unacknowledged = UnacknowledgedBytes(connection_->socket);
    if (!unacknowledged) {
      Fail("the response ended before the request was received");
      return;
    }
    if (!is_request_written_ || *unacknowledged > 0) {
      timer_.expires_after(kDeliveryCheckInterval);
      timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error && self->listener_ != nullptr)
          self->OnBodyEnded();
      });
      return;
    }
  }
  error_code error;
  parser_->put_eof(error);
  if (error)
    Fail("response: " + error.message());
  else
    Complete();
}

void BackendCall::Complete() {
  is_complete_ = true;
  can_reuse_ = parser_->keep_alive() && !parser_->need_eof() &&
               connection_->buffer.size() == 0;
  Listener* listener = std::exchange(listener_, nullptr);
  if (!is_request_written_ && IsSuccess(parser_->get().result_int())) {
    // The backend server has begun to respond before it has read the body.
    timer_.expires_after(kRestOfRequestTimeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error && self->connection_)
        self->Close();
    });
  } else {
    ReleaseConnection();
  }
  listener->OnComplete();
}

void BackendCall::ReleaseConnection() {
  if (can_reuse_ && is_request_written_) {
    pool_.PutIdle(backend_, std::move(connection_),
                  std::chrono::steady_clock::now());
  } else {
    Close();
  }
}

void BackendCall::Fail(const std::string& reason) {
  Listener* listener = std::exchange(listener_, nullptr);
  Close();
  listener->OnBroken(reason);
}

}  // namespace dandelionmill::gateway
