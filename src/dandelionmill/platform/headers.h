#ifndef SRC_DANDELIONMILL_PLATFORM_HEADERS_H_
#define SRC_DANDELIONMILL_PLATFORM_HEADERS_H_

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/request_terms.h"

namespace dandelionmill::platform {

// What the fleet tells a backend server beside the caller's own fields.
struct ForwardTerms {
  base::BackendId backend;
  base::AccountId account;
  std::chrono::milliseconds time_left{0};
  // 0 is the most urgent; not set for plain services.
  std::optional<int> priority;
  // Continue the stream after this event; empty to start it.
  std::string resume_after;
  std::size_t body_bytes = 0;
  bool has_body = false;
};

// Decodes a caller's header fields. Fails with kMalformedRequest naming the
// field, or kBadDeadline.
base::Result<gateway::RequestTerms> DecodeRequestTerms(
    const boost::beast::http::fields& fields);

// Appends the fields of the forwarded request to `out`, each with its line end:
// the caller's own except those of one connection and those that only the
// fleet may set, then the fleet's.
void AppendForwardedFields(const boost::beast::http::fields& caller,
                           const ForwardTerms& terms,
                           std::string& out);

// Decodes the header fields of a backend server's answer. `status` is its
// status code.
gateway::AnswerTerms DecodeAnswerTerms(
    int status,
    const boost::beast::http::fields& fields);

// Appends the answer's fields that go back to the caller to `out`: all except
// those of one connection and the length.
void AppendAnswerFields(const boost::beast::http::fields& answer,
                        std::string& out);

// Appends a field that names the request an answer of our own belongs to.
void AppendAttemptField(const base::AttemptId& attempt, std::string& out);

// Returns the path that the platform's balancer asks for readiness.
const char* ReadinessPath();

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_HEADERS_H_
