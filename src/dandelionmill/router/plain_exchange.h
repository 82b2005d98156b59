#ifndef SRC_DANDELIONMILL_ROUTER_PLAIN_EXCHANGE_H_
#define SRC_DANDELIONMILL_ROUTER_PLAIN_EXCHANGE_H_

#include <memory>
#include <string>
#include <variant>

#include "dandelionmill/backend/plain_call.h"
#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/traffic.h"

namespace dandelionmill::router {

// A call of a plain service that is ready to be sent.
struct PlainCall {
  std::string method;
  // Path and query below the service, with a leading slash.
  std::string path;
  std::string content_type;
  std::string body;
  // Charged when the call has run.
  base::Tokens tokens = 0;
};

// What the caller of a plain service gets.
struct PlainResult {
  backend::PlainAnswer answer;
  base::Ran ran = base::Ran::kYes;
};

// Serves one call of a plain service in the caller's fiber: asks the router
// actor to run it and sends it to the backend servers that the actor names.
// Waits until the call is over. A non-idempotent call is sent at most once.
std::variant<PlainResult, Problem> ExchangePlain(
    net::Fiber& fiber,
    Traffic& traffic,
    const std::shared_ptr<const RequestInfo>& info,
    const PlainCall& call);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_PLAIN_EXCHANGE_H_
