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

// One HTTP request to be sent.
struct HttpCall {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpAnswer {
  int status = 0;
  HttpFields fields;
  std::string body;
};

// Why there is no answer.
enum class CallFailure {
  // No connection could be made: no byte was sent.
  kRefused,
  kConnectTimedOut,
  // The answer did not come in time.
  kTimedOut,
  // The connection broke, or the answer was malformed.
  kBroken,
};

struct CallTimeouts {
  std::chrono::milliseconds connect{1000};
  // For everything, the connection included.
  std::chrono::milliseconds total{5000};
};

// Sends `call` once over a fresh connection and reads the whole answer. Waits
// for `timeouts.total` at most.
std::variant<HttpAnswer, CallFailure> Call(Fiber& fiber,
                                           const Address& address,
                                           const HttpCall& call,
                                           const CallTimeouts& timeouts);

// Connects `stream`. Returns nothing when the connection is made.
std::optional<CallFailure> Connect(Fiber& fiber,
                                   const Address& address,
                                   std::chrono::milliseconds timeout,
                                   boost::beast::tcp_stream& stream);

// Returns the message that `call` is sent as, over a connection for it alone.
boost::beast::http::request<boost::beast::http::string_body> ToMessage(
    const Address& address,
    const HttpCall& call);

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_HTTP_CLIENT_H_
