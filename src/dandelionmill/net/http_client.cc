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

// Bytes of an answer's body, more than any backend server's record has.
constexpr std::uint64_t kMaxAnswerBody = 64 << 20;

CallFailure FailureOf(const error_code& error) {
  return error == beast::error::timeout ? CallFailure::kTimedOut
                                        : CallFailure::kBroken;
}

}  // namespace

http::request<http::string_body> ToMessage(const Address& address,
                                           const HttpCall& call) {
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
    return CallFailure::kRefused;
  stream.expires_after(timeout);
  stream.async_connect({host, static_cast<unsigned short>(address.port)},
                       fiber.yield()[error]);
  if (error == beast::error::timeout)
    return CallFailure::kConnectTimedOut;
  if (error)
    return CallFailure::kRefused;
  error_code ignored;
  stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  return std::nullopt;
}

std::variant<HttpAnswer, CallFailure> Call(Fiber& fiber,
                                           const Address& address,
                                           const HttpCall& call,
                                           const CallTimeouts& timeouts) {
  const base::MonoTime until = steady_clock::now() + timeouts.total;
  beast::tcp_stream stream(fiber.loop());
  if (const auto failure = Connect(
          fiber, address, std::min(timeouts.connect, timeouts.total), stream))
    return *failure;
  stream.expires_at(until);
  error_code error;
  const auto message = ToMessage(address, call);
  http::async_write(stream, message, fiber.yield()[error]);
  // A peer that refuses early may answer before it has read everything.
  if (error == beast::error::timeout)
    return CallFailure::kTimedOut;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxAnswerBody);
  http::async_read(stream, buffer, parser, fiber.yield()[error]);
  if (error)
    return FailureOf(error);
  HttpAnswer answer;
  answer.status = static_cast<int>(parser.get().result_int());
  for (const auto& field : parser.get())
    answer.fields.Add(std::string(field.name_string()),
                      std::string(field.value()));
  answer.body = std::move(parser.get().body());
  return answer;
}

}  // namespace dandelionmill::net
