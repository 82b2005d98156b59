#ifndef SRC_DANDELIONMILL_ROUTER_CALLER_RESPONSE_H_
#define SRC_DANDELIONMILL_ROUTER_CALLER_RESPONSE_H_

#include <optional>
#include <variant>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/net/http_message.h"
#include "dandelionmill/router/caller_request.h"
#include "dandelionmill/router/problem.h"
#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/router_context.h"

namespace dandelionmill::router {

// An admitted request: the configuration that applies to it and the parameters
// parsed from its headers.
struct AdmittedRequest {
  inventory::SnapshotPtr config;
  RequestParameters parameters;
};

// Checks that this router accepts requests and that the caller's headers are
// valid. Otherwise fills `response` with the problem and returns nullopt.
// Errors: kLeaving, kNoConfig and those of ReadHeaderParameters.
std::optional<AdmittedRequest> Admit(const RouterContext& context,
                                     const net::HttpRequest& request,
                                     net::HttpResponse& response);

// Fills in the fields that model requests and plain calls have in common.
// `content` is what a retry with the same key must repeat.
RequestInfo MakeRequestInfo(RouterContext& context,
                            const AdmittedRequest& admitted,
                            const inventory::Service& service,
                            const net::HttpRequest& request,
                            const std::string& content);

// Fills `response` with `problem` as application/problem+json. An empty `key`
// is left out of the headers.
void RespondWithProblem(const Problem& problem,
                        const base::RequestKey& key,
                        net::HttpResponse& response);

// Sets the headers that every response carries.
void SetResponseHeaders(const base::RequestKey& key,
                        base::Ran ran,
                        net::HttpResponse& response);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_CALLER_RESPONSE_H_
