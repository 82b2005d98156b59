#ifndef SRC_DANDELIONMILL_ROUTER_PLAIN_HANDLER_H_
#define SRC_DANDELIONMILL_ROUTER_PLAIN_HANDLER_H_

#include <string>

#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_message.h"
#include "dandelionmill/router/traffic.h"

namespace dandelionmill::router {

// Answers a call on /v1/services/{service}/{path}, in the caller's fiber.
// `service` and `path`, with its leading slash, are decoded.
void HandlePlainRequest(net::Fiber& fiber,
                        Traffic& traffic,
                        const net::HttpRequest& request,
                        const base::ServiceId& service,
                        const std::string& path,
                        net::HttpResponse& response);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_PLAIN_HANDLER_H_
