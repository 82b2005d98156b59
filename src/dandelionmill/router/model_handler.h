#ifndef SRC_DANDELIONMILL_ROUTER_MODEL_HANDLER_H_
#define SRC_DANDELIONMILL_ROUTER_MODEL_HANDLER_H_

#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_message.h"
#include "dandelionmill/router/router_context.h"

namespace dandelionmill::router {

// Serves a model request in the caller's fiber and answers with one JSON
// document or a stream of server-sent events. `chat` selects the chat form of
// the request body.
void HandleModelRequest(net::Fiber& fiber,
                        RouterContext& context,
                        const net::HttpRequest& request,
                        bool chat,
                        net::HttpResponse& response);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_MODEL_HANDLER_H_
