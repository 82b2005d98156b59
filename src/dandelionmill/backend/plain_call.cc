#include "dandelionmill/backend/plain_call.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

namespace dandelionmill::backend {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};

PlainAnswer::Kind ToKind(net::CallFailure failure) {
  switch (failure) {
    case net::CallFailure::kConnectFailed:
    case net::CallFailure::kConnectTimedOut:
      return PlainAnswer::Kind::kNotSent;
    case net::CallFailure::kTimedOut:
      return PlainAnswer::Kind::kTimedOut;
    case net::CallFailure::kBroken:
      return PlainAnswer::Kind::kBroken;
  }
  return PlainAnswer::Kind::kBroken;
}

}  // namespace

PlainAnswer CallPlain(net::Fiber& fiber,
                      const net::Address& address,
                      const net::HttpCall& call,
                      milliseconds timeout) {
  auto result = net::Call(fiber, address, call, {kConnectTimeout, timeout});
  PlainAnswer answer;
  if (const auto* failure = std::get_if<net::CallFailure>(&result)) {
    answer.kind = ToKind(*failure);
    return answer;
  }
  auto& received = std::get<net::HttpClientResponse>(result);
  answer.kind = PlainAnswer::Kind::kAnswered;
  answer.status = received.status;
  answer.content_type = received.fields.Get("Content-Type");
  answer.says_not_run = received.fields.Get("X-Request-Ran") == "no";
  answer.body = std::move(received.body);
  return answer;
}

bool AcceptsConnections(net::Fiber& fiber,
                        const net::Address& address,
                        milliseconds timeout) {
  boost::beast::tcp_stream stream(fiber.loop());
  return !net::Connect(fiber, address, timeout, stream);
}

}  // namespace dandelionmill::backend
