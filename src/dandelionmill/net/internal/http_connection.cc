#include "dandelionmill/net/internal/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/coroutine/exceptions.hpp>
#include <exception>
#include <optional>
#include <sstream>
#include <utility>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::net::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr int kInternalServerError = 500;
constexpr int kConnectionEnded = -1;

constexpr std::uint32_t kMaxHeaderBytes = 64 << 10;
constexpr std::size_t kReadBytes = 16 << 10;
// Bytes of a response that a caller must accept within one `io_timeout`.
constexpr std::size_t kMaxWriteBytes = 64 << 10;
// How long the rest of a rejected request is read before closing. Closing with
// unread data resets the connection and may discard the response in transit.
constexpr milliseconds kLingerTimeout{1000};

int ToStatus(const error_code& error) {
  if (error == http::error::body_limit)
    return kPayloadTooLarge;
  if (error == http::error::header_limit)
    return kHeaderFieldsTooLarge;
  // After a transport error no response can be sent.
  return error.category() == http::make_error_code(http::error::bad_method)
                                 .category() &&
                 error != http::error::end_of_stream &&
                 error != http::error::partial_message
             ? kBadRequest
             : kConnectionEnded;
}

HttpRequest ToRequest(
    http::request_parser<http::string_body>::value_type message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.path = PercentDecode(
      std::string_view(request.target).substr(0, request.target.find('?')));
  for (const auto& field : message)
    request.fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
  request.body = std::move(message.body());
  return request;
}

std::string FormatHead(const HttpResponse& response, bool keep_alive) {
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(response.status));
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     std::string(reason) + "\r\n";
  const auto add = [&head](std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
  };
  for (const auto& [name, value] : response.fields)
    add(name, value);
  if (!response.content_type.empty())
    add("Content-Type", response.content_type);
  if (response.write_body)
    add("Transfer-Encoding", "chunked");
  else
    add("Content-Length", std::to_string(response.body.size()));
  add("Connection", keep_alive ? "keep-alive" : "close");
  return head + "\r\n";
}

// Calls `function` and returns false if it threw. The error response is sent by
// the calling function: a fiber must not wait while an exception is being
// handled.
template <class Function>
bool RunWithoutThrow(const HttpRequest& request, const Function& function) {
  try {
    function();
    return true;
  } catch (const boost::coroutines::detail::forced_unwind&) {
    // Unwinds the fiber, as the loop is being destroyed.
    throw;
  } catch (const std::exception& exception) {
    log::Event(log::Level::kError, "handler_failed")
        .With("path", request.path)
        .With("problem", exception.what());
    return false;
  }
}

}  // namespace

HttpConnection::HttpConnection(Fiber& fiber,
                               asio::ip::tcp::socket socket,
                               asio::ssl::context* tls_context,
                               const AsyncHttpServer::Options& options)
    : fiber_(fiber),
      options_(options),
      stream_(tls_context == nullptr ? std::variant<PlainStream, TlsStream>(
                                           std::in_place_type<PlainStream>,
                                           std::move(socket))
                                     : std::variant<PlainStream, TlsStream>(
                                           std::in_place_type<TlsStream>,
                                           PlainStream(std::move(socket)),
                                           *tls_context)) {
  error_code ignored;
  tcp().socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

beast::tcp_stream& HttpConnection::tcp() {
  return std::visit(
      base::Overloaded{
          [](PlainStream& plain) -> PlainStream& { return plain; },
          [](TlsStream& tls) -> PlainStream& { return tls.next_layer(); }},
      stream_);
}

bool HttpConnection::Handshake() {
  auto* tls = std::get_if<TlsStream>(&stream_);
  if (tls == nullptr)
    return true;
  error_code error;
  tcp().expires_after(options_.io_timeout);
  tls->async_handshake(asio::ssl::stream_base::server, fiber_.yield()[error]);
  return !error;
}

void HttpConnection::Serve(const AsyncHttpServer::Handler& handler,
                           const AsyncHttpServer::ErrorHandler& error_handler,
                           const bool& is_stopping) {
  if (!Handshake())
    return;
  while (!is_stopping) {
    Parser parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(options_.max_body);
    const int error_status = ReadRequest(parser);
    if (error_status == kConnectionEnded)
      return;
    HttpResponse response;
    if (error_status != 0) {
      response.status = error_status;
      error_handler(response);
      SendResponse(response, false);
      CloseAfterResponse();
      return;
    }
    const bool client_keeps_alive = parser.get().keep_alive();
    const HttpRequest request = ToRequest(parser.release());
    if (!RunWithoutThrow(request,
                         [&] { handler(fiber_, request, response); })) {
      response = HttpResponse();
      response.status = kInternalServerError;
      error_handler(response);
    }
    const bool keep_alive =
        client_keeps_alive && !response.close_connection && !is_stopping;
    bool is_sent = false;
    const bool has_returned = RunWithoutThrow(
        request, [&] { is_sent = SendResponse(response, keep_alive); });
    if (!has_returned || !is_sent)
      return;
    if (!keep_alive) {
      CloseAfterResponse();
      return;
    }
  }
}

void HttpConnection::CloseIfIdle() {
  if (is_idle_)
    tcp().close();
}

int HttpConnection::ReadRequest(Parser& parser) {
  if (!WaitForRequest())
    return kConnectionEnded;
  error_code error;
  while (!parser.is_done()) {
    const bool had_header = parser.is_header_done();
    tcp().expires_after(options_.io_timeout);
    std::visit(
        [&](auto& stream) {
          http::async_read_some(stream, buffer_, parser, fiber_.yield()[error]);
        },
        stream_);
    if (error)
      return ToStatus(error);
    const bool expects_continue =
        !had_header && parser.is_header_done() && !parser.is_done() &&
        beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (expects_continue && !WriteBytes("HTTP/1.1 100 Continue\r\n\r\n"))
      return kConnectionEnded;
  }
  return 0;
}

bool HttpConnection::WaitForRequest() {
  if (buffer_.size() > 0)
    return true;
  is_idle_ = true;
  error_code error;
  std::size_t count = 0;
  tcp().expires_after(options_.keep_alive);
  std::visit(
      [&](auto& stream) {
        count = stream.async_read_some(buffer_.prepare(kReadBytes),
                                       fiber_.yield()[error]);
      },
      stream_);
  is_idle_ = false;
  buffer_.commit(count);
  return !error;
}

bool HttpConnection::SendResponse(HttpResponse& response, bool keep_alive) {
  const std::string head = FormatHead(response, keep_alive);
  if (!response.write_body)
    return WriteBytes(head + response.body);
  // Called even if the caller disconnected: the body then gets false from
  // Write().
  const bool is_head_sent = WriteBytes(head);
  const bool is_complete = response.write_body(fiber_, *this);
  return is_head_sent && is_complete && WriteBytes("0\r\n\r\n");
}

bool HttpConnection::Write(std::string_view bytes) {
  if (bytes.empty())
    return true;
  std::ostringstream size;
  size << std::hex << bytes.size() << "\r\n";
  return WriteBytes(size.str().append(bytes).append("\r\n"));
}

bool HttpConnection::IsCallerConnected() {
  char byte = 0;
  const ssize_t count =
      ::recv(tcp().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
}

bool HttpConnection::WriteBytes(std::string_view bytes) {
  error_code error;
  while (!bytes.empty() && !error) {
    const std::string_view part = bytes.substr(0, kMaxWriteBytes);
    tcp().expires_after(options_.io_timeout);
    std::visit(
        [&](auto& stream) {
          asio::async_write(stream, asio::buffer(part.data(), part.size()),
                            fiber_.yield()[error]);
        },
        stream_);
    bytes.remove_prefix(part.size());
  }
  return !error;
}

void HttpConnection::CloseAfterResponse() {
  error_code error;
  if (auto* tls = std::get_if<TlsStream>(&stream_)) {
    tcp().expires_after(kLingerTimeout);
    tls->async_shutdown(fiber_.yield()[error]);
  }
  tcp().socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  tcp().expires_after(kLingerTimeout);
  std::array<char, 4096> discarded;
  while (!error)
    tcp().async_read_some(asio::buffer(discarded), fiber_.yield()[error]);
}

}  // namespace dandelionmill::net::internal
