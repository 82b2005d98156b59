#include "dandelionmill/gateway/backend_call.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "dandelionmill/platform/headers.h"

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16384;
constexpr std::uint32_t kMaxHeadBytes = 65536;

// Answers of earlier requests that are skipped on one connection before it is
// given up.
constexpr int kMaxSkippedAnswers = 2;

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
      is_reused_(connection_->is_reused) {
  NewParser();
}

void BackendCall::NewParser() {
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->skip(is_head_request_);
  head_reported_ = false;
  is_foreign_ = false;
}

void BackendCall::Run(std::string head, const std::string& body) {
  head_ = std::move(head);
  overload_.OnSent(head_.size() + body.size());
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(head_),
                                                   asio::buffer(body)};
  asio::async_write(connection_->socket, parts,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->listener_ == nullptr || !self->connection_)
                        return;
                      if (error)
                        self->Break("write: " + error.message());
                      else
                        self->is_written_ = true;
                    });
  Receive();
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
  if (!connection_)
    return;
  error_code ignored;
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
  if (error == asio::error::eof && head_reported_ && parser_->need_eof() &&
      !is_foreign_) {
    error_code end;
    parser_->put_eof(end);
    if (!end) {
      Complete();
      return;
    }
  }
  if (error) {
    Break("read: " + error.message());
    return;
  }
  connection_->buffer.commit(count);
  overload_.OnReceived(count);
  if (Parse() && !is_paused_)
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
        Break("answer: " + error.message());
        return false;
      }
      if (!parser_->is_header_done())
        return true;
    }
    if (!head_reported_ && !is_foreign_ && !OnHeadParsed())
      return false;
    if (!parser_->is_done() && !ParseBody())
      return false;
    if (!parser_->is_done())
      return true;
    if (!is_foreign_ && parser_->get().result_int() >= 200) {
      Complete();
      return false;
    }
    // An interim answer, or one that belongs to an earlier request.
    NewParser();
    if (connection_->buffer.size() == 0)
      return true;
  }
}

bool BackendCall::OnHeadParsed() {
  const auto& message = parser_->get();
  const int status = static_cast<int>(message.result_int());
  if (status < 200)
    return true;
  const AnswerTerms terms = platform::DecodeAnswerTerms(status, message);
  if (!terms.attempt.empty() && terms.attempt != attempt_) {
    is_foreign_ = true;
    if (++skipped_answers_ <= kMaxSkippedAnswers && !parser_->need_eof())
      return true;
    Break("answer to another request");
    return false;
  }
  if (terms.idle_timeout)
    connection_->idle_timeout = *terms.idle_timeout;
  head_reported_ = true;
  listener_->OnHead(status, message, terms);
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
    if (produced > 0 && !is_foreign_) {
      listener_->OnBody(std::string_view(scratch.data(), produced));
      if (listener_ == nullptr)
        return false;
    }
    if (error == http::error::need_more)
      return true;
    if (error && error != http::error::need_buffer) {
      Break("answer: " + error.message());
      return false;
    }
    if (used == 0 && produced == 0)
      return true;
  }
  return true;
}

void BackendCall::Complete() {
  const bool keep = parser_->keep_alive() && !parser_->need_eof() &&
                    is_written_ && connection_->buffer.size() == 0;
  Listener* listener = std::exchange(listener_, nullptr);
  BackendConnectionPtr connection = std::move(connection_);
  if (keep) {
    pool_.Keep(backend_, std::move(connection),
               std::chrono::steady_clock::now());
  } else {
    error_code ignored;
    connection->socket.close(ignored);
    // A write may still be under way on it.
    connection_ = std::move(connection);
  }
  listener->OnComplete();
}

void BackendCall::Break(const std::string& reason) {
  Listener* listener = std::exchange(listener_, nullptr);
  error_code ignored;
  connection_->socket.close(ignored);
  listener->OnBroken(reason);
}

}  // namespace dandelionmill::gateway
