#include "dandelionmill/net/http_client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace dandelionmill::net {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::steady_clock;

// Maximum response body in bytes; larger than any backend server's record.
constexpr std::uint64_t kMaxResponseBody = 64 << 20;

// Received bytes that may wait to be parsed. The parser consumes a chunk header
// or a trailer only as a whole, and has no limit for them.
constexpr std::size_t kMaxUnparsedBytes = 128 << 10;

CallFailure ToCallFailure(const error_code& error) {
  return error == beast::error::timeout ? CallFailure::kTimedOut
                                        : CallFailure::kBroken;
}

}  // namespace

http::request<http::string_body> ToMessage(const Address& address,
                                           const HttpClientRequest& call) {
  http::request<http::string_body> message;
  message.method_string(call.method);
  message.target(call.path);
  message.version(11);
  message.set(http::field::host, ToString(address));
  message.keep_alive(false);
  for (const auto& [name, value] : call.headers)
    message.set(name, value);
  message.body() = call.body;
  message.prepare_payload();
  return message;
}

std::optional<CallFailure> Connect(Fiber& fiber,
                                   const Address& address,
                                   std::chrono::milliseconds timeout,
                                   beast::tcp_stream& stream) {
  error_code error;
  const auto host = boost::asio::ip::make_address(address.host, error);
  if (error)
    return CallFailure::kConnectFailed;
  stream.expires_after(timeout);
  stream.async_connect({host, static_cast<unsigned short>(address.port)},
                       fiber.yield()[error]);
  if (error == beast::error::timeout)
    return CallFailure::kConnectTimedOut;
  if (error)
    return CallFailure::kConnectFailed;
  error_code ignored;
  stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  return std::nullopt;
}

std::variant<HttpClientResponse, CallFailure> Call(
    Fiber& fiber,
    const Address& address,
    const HttpClientRequest& call,
    const CallTimeouts& timeouts) {
  const base::MonoTime deadline = steady_clock::now() + timeouts.total;
  beast::tcp_stream stream(fiber.loop());
  if (const auto failure = Connect(
          fiber, address, std::min(timeouts.connect, timeouts.total), stream))
    return *failure;
  stream.expires_at(deadline);
  error_code error;
  const auto message = ToMessage(address, call);
  http::async_write(stream, message, fiber.yield()[error]);
  // A write error other than a timeout is ignored: a peer that rejects the
  // request may respond before it has read all of it.
  if (error == beast::error::timeout)
    return CallFailure::kTimedOut;
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBody);
  http::async_read(stream, buffer, parser, fiber.yield()[error]);
  if (error)
    return ToCallFailure(error);
  HttpClientResponse response;
  response.status = static_cast<int>(parser.get().result_int());
  for (const auto& field : parser.get())
    response.fields.Add(std::string(field.name_string()),
                        std::string(field.value()));
  response.body = std::move(parser.get().body());
  return response;
}

}  // namespace dandelionmill::net
