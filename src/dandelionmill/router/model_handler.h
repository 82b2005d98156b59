#ifndef SRC_DANDELIONMILL_ROUTER_MODEL_HANDLER_H_
#define SRC_DANDELIONMILL_ROUTER_MODEL_HANDLER_H_

#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_message.h"
#include "dandelionmill/router/traffic.h"

namespace dandelionmill::router {

// Answers a request to a model, in the caller's fiber, as one JSON document or
// as a stream of server-sent events. `chat` tells which form the body has.
void HandleModelRequest(net::Fiber& fiber,
                        Traffic& traffic,
                        const net::HttpRequest& request,
                        bool chat,
                        net::HttpResponse& response);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_MODEL_HANDLER_H_
