#ifndef SRC_DANDELIONMILL_GATEWAY_RELAY_PROTOCOL_H_
#define SRC_DANDELIONMILL_GATEWAY_RELAY_PROTOCOL_H_

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"

namespace dandelionmill::gateway {

// Instances relay connections for each other with HTTP's CONNECT method. The
// request names a backend server instead of an address, so that an instance
// relays to nothing but the backend servers that it would use itself. After the
// response with status 200 the connection carries one request and its response
// unchanged.

// What is asked of the relaying instance.
struct RelayRequest {
  base::BackendId backend;
  // Start of the backend server that is meant; 0 if unknown.
  std::int64_t incarnation = 0;
  // The instance that asks, and the request that it is for, for logs.
  base::InstanceId instance;
  base::AttemptId attempt;
};

// How the relaying instance responds. The values are status codes.
enum class RelayStatus {
  // It did not answer. Never sent.
  kNoAnswer = 0,
  kConnected = 200,
  // It would not send a request to this backend server.
  kBackendNotUsable = 409,
  // The backend server refused the connection.
  kBackendRefused = 502,
  // It cannot relay now, to this or any backend server of the service.
  kUnavailable = 503,
  // The backend server did not answer.
  kBackendTimedOut = 504,
};

// Returns the head of the request.
std::string FormatRelayRequest(const RelayRequest& request);
// Fails with kMalformedRequest.
base::Result<RelayRequest> ParseRelayRequest(
    const boost::beast::http::request<boost::beast::http::empty_body>& message);
// Returns the head of the response.
std::string FormatRelayStatus(RelayStatus status);
// Returns kUnavailable for an unknown status code.
RelayStatus ParseRelayStatus(unsigned status_code);
const char* ToString(RelayStatus status);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_RELAY_PROTOCOL_H_
