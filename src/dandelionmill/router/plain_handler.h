#ifndef SRC_DANDELIONMILL_ROUTER_PLAIN_HANDLER_H_
#define SRC_DANDELIONMILL_ROUTER_PLAIN_HANDLER_H_

#include <string>

#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_message.h"
#include "dandelionmill/router/router_context.h"

namespace dandelionmill::router {

// Serves a call to /v1/services/{service}/{path} in the caller's fiber.
// `service` and `path`, which has a leading slash, are percent-decoded.
void HandlePlainRequest(net::Fiber& fiber,
                        RouterContext& context,
                        const net::HttpRequest& request,
                        const base::ServiceId& service,
                        const std::string& path,
                        net::HttpResponse& response);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_PLAIN_HANDLER_H_
