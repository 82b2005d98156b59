#include "dandelionmill/backend/plain_call.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

namespace dandelionmill::backend {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};

PlainResponse::Kind ToKind(net::CallFailure failure) {
  switch (failure) {
    case net::CallFailure::kConnectFailed:
    case net::CallFailure::kConnectTimedOut:
      return PlainResponse::Kind::kNotSent;
    case net::CallFailure::kTimedOut:
      return PlainResponse::Kind::kTimedOut;
    case net::CallFailure::kBroken:
      return PlainResponse::Kind::kBroken;
  }
  return PlainResponse::Kind::kBroken;
}

}  // namespace

PlainResponse CallPlain(net::Fiber& fiber,
                        const net::Address& address,
                        const net::HttpClientRequest& call,
                        milliseconds timeout) {
  auto result = net::Call(fiber, address, call, {kConnectTimeout, timeout});
  PlainResponse answer;
  if (const auto* failure = std::get_if<net::CallFailure>(&result)) {
    answer.kind = ToKind(*failure);
    return answer;
  }
  auto& received = std::get<net::HttpClientResponse>(result);
  answer.kind = PlainResponse::Kind::kAnswered;
  answer.status = received.status;
  answer.content_type = received.fields.Get("Content-Type");
  answer.reports_not_run = received.fields.Get("X-Request-Ran") == "no";
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
