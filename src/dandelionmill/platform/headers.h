#ifndef SRC_DANDELIONMILL_PLATFORM_HEADERS_H_
#define SRC_DANDELIONMILL_PLATFORM_HEADERS_H_

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/request_metadata.h"

namespace dandelionmill::platform {

// Values of the header fields that the gateway adds to a forwarded request.
struct ForwardedRequestFields {
  base::BackendId backend;
  base::AccountId account;
  std::chrono::milliseconds remaining_time{0};
  // 0 (highest) to 9; values outside are clamped. Not set for plain services.
  std::optional<int> priority;
  // Id of the event after which the stream resumes; empty for a new stream.
  std::string resume_after_event;
  std::size_t body_bytes = 0;
  bool has_body = false;
};

// Decodes a caller's header fields. Fails with kBadDeadline for an invalid
// deadline, and with kMalformedRequest naming the field for an invalid token
// count.
base::Result<gateway::RequestMetadata> DecodeRequestMetadata(
    const boost::beast::http::fields& fields);

// Appends the header fields of the forwarded request to `out`, each terminated
// by CRLF: the caller's fields, without hop-by-hop fields and those reserved
// for the gateway, followed by the fields from `forwarded`.
void AppendForwardedFields(const boost::beast::http::fields& caller,
                           const ForwardedRequestFields& forwarded,
                           std::string& out);

// Decodes the header fields of a backend server's response. `status` is the
// HTTP status code.
gateway::ResponseMetadata DecodeResponseMetadata(
    int status,
    const boost::beast::http::fields& fields);

// Appends the response header fields that are forwarded to the caller to `out`:
// all except hop-by-hop fields and those that frame the body.
void AppendResponseFields(const boost::beast::http::fields& response,
                          std::string& out);

// Appends the field that identifies the request to a response that the gateway
// generates itself. Appends nothing when `attempt` is empty.
void AppendAttemptField(const base::AttemptId& attempt, std::string& out);

// Returns the path of the readiness probe of the platform's load balancer.
const char* ReadinessPath();

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_HEADERS_H_
