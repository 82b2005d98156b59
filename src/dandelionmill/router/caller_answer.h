#ifndef SRC_DANDELIONMILL_ROUTER_CALLER_ANSWER_H_
#define SRC_DANDELIONMILL_ROUTER_CALLER_ANSWER_H_

#include <optional>
#include <variant>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/net/http_message.h"
#include "dandelionmill/router/caller_request.h"
#include "dandelionmill/router/problem.h"
#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/traffic.h"

namespace dandelionmill::router {

// What every kind of request begins with: who calls, on which terms, under
// which configuration.
struct Admitted {
  inventory::SnapshotPtr config;
  CallerTerms terms;
};

// Checks that this router serves, and the caller's headers. Where it does not,
// answers the problem and returns nothing.
std::optional<Admitted> Admit(const Traffic& traffic,
                              const net::HttpRequest& request,
                              net::HttpResponse& response);

// Fills in what all kinds of requests share. `content` is what a retry with the
// same key must repeat.
RequestInfo MakeInfo(Traffic& traffic,
                     const Admitted& admitted,
                     const inventory::Service& service,
                     const net::HttpRequest& request,
                     const std::string& content);

// Answers with application/problem+json.
void AnswerProblem(const Problem& problem,
                   const base::RequestKey& key,
                   net::HttpResponse& response);

// Sets the headers that every answer carries.
void SetAnswerHeaders(const base::RequestKey& key,
                      base::Ran ran,
                      net::HttpResponse& response);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_CALLER_ANSWER_H_
