#ifndef SRC_DANDELIONMILL_ROUTER_PLAIN_EXCHANGE_H_
#define SRC_DANDELIONMILL_ROUTER_PLAIN_EXCHANGE_H_

#include <memory>
#include <string>
#include <variant>

#include "dandelionmill/backend/plain_call.h"
#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/router_context.h"

namespace dandelionmill::router {

// A call to a plain service, ready to be sent.
struct PlainCall {
  std::string method;
  // Path and query after the service name, with a leading slash.
  std::string path;
  std::string content_type;
  std::string body;
  // Tokens charged once the call has run.
  base::Tokens tokens = 0;
};

// The answer to the caller of a plain service.
struct PlainResult {
  backend::PlainResponse answer;
  base::Ran ran = base::Ran::kYes;
};

// Serves one call to a plain service in the caller's fiber: submits it to the
// router actor, sends it to the backend servers that the actor selects, and
// waits until it has ended. A non-idempotent call is sent at most once. Returns
// the answer or the problem to report to the caller.
std::variant<PlainResult, Problem> RunPlainCall(
    net::Fiber& fiber,
    RouterContext& context,
    const std::shared_ptr<const RequestInfo>& info,
    const PlainCall& call);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_PLAIN_EXCHANGE_H_
