#include "dandelionmill/router/caller_answer.h"

#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using std::chrono::milliseconds;

constexpr milliseconds kRetryElsewhere{1000};

CallerHeaders ReadHeaders(const net::HttpRequest& request) {
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

std::optional<Admitted> Admit(const Traffic& traffic,
                              const net::HttpRequest& request,
                              net::HttpResponse& response) {
  Admitted admitted;
  admitted.config = traffic.config();
  Problem problem{{Code::kNoConfig, ""}, base::Ran::kNo, kRetryElsewhere};
  if (traffic.refuses_new()) {
    problem.error.code = Code::kLeaving;
    response.closes_connection = true;
  } else if (admitted.config) {
    auto terms = ReadTerms(ReadHeaders(request), *admitted.config);
    if (base::IsOk(terms)) {
      admitted.terms = base::ValueOf(std::move(terms));
      return admitted;
    }
    problem.error = base::ErrorOf(terms);
    problem.retry_after = milliseconds(0);
  }
  traffic.metrics().CountRefusal(problem.error.code);
  AnswerProblem(problem, base::RequestKey(), response);
  return std::nullopt;
}

RequestInfo MakeInfo(Traffic& traffic,
                     const Admitted& admitted,
                     const inventory::Service& service,
                     const net::HttpRequest& request,
                     const std::string& content) {
  const CallerTerms& terms = admitted.terms;
  RequestInfo info;
  info.request.number = traffic.NextNumber();
  info.request.account = terms.account;
  info.request.weight = terms.weight;
  info.request.service = service.id;
  info.request.priority = terms.priority;
  info.request.idempotent = terms.idempotent;
  info.content_sha256 = base::Sha256Hex(content);
  if (!request.body.empty())
    info.request.body_sha256 = info.content_sha256;
  info.request.deadline =
      std::chrono::steady_clock::now() +
      (terms.deadline.count() > 0 ? terms.deadline : service.default_deadline);
  info.budget = terms.budget;
  info.key = terms.key;
  info.key_from_caller = terms.key_from_caller;
  info.limits = terms.limits;
  return info;
}

void AnswerProblem(const Problem& problem,
                   const base::RequestKey& key,
                   net::HttpResponse& response) {
  response.status = base::InfoOf(problem.error.code).http_status;
  SetAnswerHeaders(key, problem.ran, response);
  if (const int seconds = RetryAfterSeconds(problem); seconds > 0)
    response.fields.Add("Retry-After", std::to_string(seconds));
  response.content_type = "application/problem+json";
  response.body = ToJson(problem, key);
}

void SetAnswerHeaders(const base::RequestKey& key,
                      base::Ran ran,
                      net::HttpResponse& response) {
  if (!key.empty())
    response.fields.Add("Idempotency-Key", key.value());
  response.fields.Add("X-Request-Ran", base::ToString(ran));
}

}  // namespace dandelionmill::router
