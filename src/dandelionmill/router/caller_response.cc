#include "dandelionmill/router/caller_response.h"

#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterUnavailable{1000};

CallerHeaders CopyHeaders(const net::HttpRequest& request) {
  CallerHeaders headers;
  headers.authorization = request.fields.Get("Authorization");
  headers.budget = request.fields.Get("X-Budget");
  headers.idempotency_key = request.fields.Get("Idempotency-Key");
  headers.deadline_ms = request.fields.Get("X-Deadline-Ms");
  headers.idempotent = request.fields.Get("X-Idempotent");
  headers.priority = request.fields.Get("X-Priority");
  return headers;
}

}  // namespace

std::optional<AdmittedRequest> Admit(const RouterContext& context,
                                     const net::HttpRequest& request,
                                     net::HttpResponse& response) {
  AdmittedRequest admitted;
  admitted.config = context.config();
  Problem problem{
      {Code::kNoConfig, ""}, base::Ran::kNo, kRetryAfterUnavailable};
  if (context.refuses_new_requests()) {
    problem.error.code = Code::kLeaving;
    response.close_connection = true;
  } else if (admitted.config) {
    auto parameters =
        ReadHeaderParameters(CopyHeaders(request), *admitted.config);
    if (base::IsOk(parameters)) {
      admitted.parameters = base::ValueOf(std::move(parameters));
      return admitted;
    }
    problem.error = base::ErrorOf(parameters);
    problem.retry_after = milliseconds(0);
  }
  context.metrics().CountRefusal(problem.error.code);
  RespondWithProblem(problem, base::RequestKey(), response);
  return std::nullopt;
}

RequestInfo MakeRequestInfo(RouterContext& context,
                            const AdmittedRequest& admitted,
                            const inventory::Service& service,
                            const net::HttpRequest& request,
                            const std::string& content) {
  const RequestParameters& parameters = admitted.parameters;
  RequestInfo info;
  info.request.number = context.NextNumber();
  info.request.account = parameters.account;
  info.request.weight = parameters.weight;
  info.request.service = service.id;
  info.request.priority = parameters.priority;
  info.request.idempotent = parameters.idempotent;
  info.content_sha256 = base::Sha256Hex(content);
  if (!request.body.empty())
    info.request.body_sha256 = info.content_sha256;
  info.request.deadline =
      std::chrono::steady_clock::now() + (parameters.deadline.count() > 0
                                              ? parameters.deadline
                                              : service.default_deadline);
  info.budget = parameters.budget;
  info.key = parameters.key;
  info.key_from_caller = parameters.key_from_caller;
  info.limits = parameters.limits;
  return info;
}

void RespondWithProblem(const Problem& problem,
                        const base::RequestKey& key,
                        net::HttpResponse& response) {
  response.status = base::InfoOf(problem.error.code).http_status;
  SetResponseHeaders(key, problem.ran, response);
  if (const int seconds = RetryAfterSeconds(problem); seconds > 0)
    response.fields.Add("Retry-After", std::to_string(seconds));
  response.content_type = "application/problem+json";
  response.body = ToJson(problem, key);
}

void SetResponseHeaders(const base::RequestKey& key,
                        base::Ran ran,
                        net::HttpResponse& response) {
  if (!key.empty())
    response.fields.Add("Idempotency-Key", key.value());
  response.fields.Add("X-Request-Ran", base::ToString(ran));
}

}  // namespace dandelionmill::router
