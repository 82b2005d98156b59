#ifndef SRC_DANDELIONMILL_BACKEND_PLAIN_CALL_H_
#define SRC_DANDELIONMILL_BACKEND_PLAIN_CALL_H_

#include <chrono>
#include <string>

#include "dandelionmill/net/address.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_client.h"

namespace dandelionmill::backend {

// The outcome of one call of a plain service.
struct PlainAnswer {
  enum class Kind {
    kAnswered,
    // No connection could be made: no byte was sent.
    kNotSent,
    // The connection broke before the whole answer had come.
    kBroken,
    // No answer within the time given.
    kTimedOut,
  };
  Kind kind = Kind::kBroken;
  int status = 0;
  std::string content_type;
  std::string body;
  // Whether the backend server says itself that it did not run the call.
  bool says_not_run = false;
};

// Sends `call` once, over a fresh connection, and reads the whole answer.
// Never sends it again by itself. Waits for at most about `timeout`.
PlainAnswer CallPlain(net::Fiber& fiber,
                      const net::Address& address,
                      const net::HttpCall& call,
                      std::chrono::milliseconds timeout);

// Whether a new connection to `address` can be made.
bool AcceptsConnections(net::Fiber& fiber,
                        const net::Address& address,
                        std::chrono::milliseconds timeout);

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_PLAIN_CALL_H_
