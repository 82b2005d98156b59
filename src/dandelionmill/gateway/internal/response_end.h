#ifndef SRC_DANDELIONMILL_GATEWAY_INTERNAL_RESPONSE_END_H_
#define SRC_DANDELIONMILL_GATEWAY_INTERNAL_RESPONSE_END_H_

#include <boost/beast/http/fields.hpp>
#include <optional>

#include "dandelionmill/gateway/gateway_context.h"

namespace dandelionmill::gateway::internal {

// Returns whether a response with these header fields has neither a length nor
// chunks, so that its body ends with the connection.
bool EndsWithConnection(const boost::beast::http::fields& fields);

// Opens a connection on the path of an earlier one, a moment after that has
// ended: a process that crashes closes its connections and its listening socket
// one after the other. The handler is called once, never from within the call.
void ProbeBackend(GatewayContext& context,
                  const BackendEntry& backend,
                  const std::optional<peer::Instance>& relay,
                  ConnectionPool::Handler handler);

}  // namespace dandelionmill::gateway::internal

#endif  // SRC_DANDELIONMILL_GATEWAY_INTERNAL_RESPONSE_END_H_
