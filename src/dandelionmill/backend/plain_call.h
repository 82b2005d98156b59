#ifndef SRC_DANDELIONMILL_BACKEND_PLAIN_CALL_H_
#define SRC_DANDELIONMILL_BACKEND_PLAIN_CALL_H_

#include <chrono>
#include <string>

#include "dandelionmill/net/address.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_client.h"

namespace dandelionmill::backend {

// The result of one call to a plain service.
struct PlainResponse {
  enum class Kind {
    // A response with any status was received.
    kAnswered,
    // No connection was established; no byte was sent.
    kNotSent,
    // The connection was lost before the whole response was received, or the
    // response was malformed or too large.
    kBroken,
    // No complete response within the timeout.
    kTimedOut,
  };
  Kind kind = Kind::kBroken;
  int status = 0;
  std::string content_type;
  std::string body;
  // Whether the backend server reported that it did not run the call
  // (`X-Request-Ran: no`).
  bool reports_not_run = false;
};

// Sends `call` once over a new connection, without retries, and reads the whole
// response. Takes at most about `timeout`.
PlainResponse CallPlain(net::Fiber& fiber,
                        const net::Address& address,
                        const net::HttpClientRequest& call,
                        std::chrono::milliseconds timeout);

// Returns whether a connection to `address` can be established within
// `timeout`.
bool AcceptsConnections(net::Fiber& fiber,
                        const net::Address& address,
                        std::chrono::milliseconds timeout);

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_PLAIN_CALL_H_
