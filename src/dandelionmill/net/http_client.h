#ifndef SRC_DANDELIONMILL_NET_HTTP_CLIENT_H_
#define SRC_DANDELIONMILL_NET_HTTP_CLIENT_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "dandelionmill/net/address.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_message.h"

namespace dandelionmill::net {

// An HTTP request to send.
struct HttpClientRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
};

// The response to an HttpClientRequest.
struct HttpClientResponse {
  int status = 0;
  HttpFields fields;
  std::string body;
};

// Why a call got no response.
enum class CallFailure {
  // No connection was established; no byte was sent.
  kConnectFailed,
  // No connection was established within the timeout; no byte was sent.
  kConnectTimedOut,
  // The response did not arrive within the timeout.
  kTimedOut,
  // The connection was lost, or the response was malformed or too large.
  kBroken,
};

struct CallTimeouts {
  std::chrono::milliseconds connect{1000};
  // For the whole call, including the connection.
  std::chrono::milliseconds total{5000};
};

// Sends `call` once over a new connection, without retries, and reads the whole
// response. Takes at most `timeouts.total`.
std::variant<HttpClientResponse, CallFailure> Call(
    Fiber& fiber,
    const Address& address,
    const HttpClientRequest& call,
    const CallTimeouts& timeouts);

// Connects `stream` to `address`. Returns nullopt on success.
std::optional<CallFailure> Connect(Fiber& fiber,
                                   const Address& address,
                                   std::chrono::milliseconds timeout,
                                   boost::beast::tcp_stream& stream);

// Returns the HTTP message for `call`, with `Connection: close`.
boost::beast::http::request<boost::beast::http::string_body> ToMessage(
    const Address& address,
    const HttpClientRequest& call);

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_HTTP_CLIENT_H_
