#include "dandelionmill/gateway/refusal.h"

#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/platform/headers.h"

namespace dandelionmill::gateway {
namespace {

// Returns the HTTP status that callers receive with a code. It differs from the
// statuses of the product's own interface, which guarantee less than 503 does.
int HttpStatusFor(base::Code code) {
  switch (code) {
    case base::Code::kMalformedRequest:
    case base::Code::kBadDeadline:
      return 400;
    case base::Code::kUnauthorized:
      return 401;
    case base::Code::kBudgetExhausted:
      return 402;
    case base::Code::kUnknownService:
      return 404;
    case base::Code::kTimeout:
      return 408;
    case base::Code::kDeadlineExceeded:
      return 504;
    case base::Code::kBodyTooLarge:
      return 413;
    default:
      return 503;
  }
}

std::string FormatSeconds(std::chrono::milliseconds value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f",
                std::chrono::duration<double>(value).count());
  return text;
}

}  // namespace

Refusal RefuseNotRun(base::Code code,
                     std::string detail,
                     std::optional<std::chrono::milliseconds> retry_after) {
  return {HttpStatusFor(code), code, base::Ran::kNo, retry_after,
          std::move(detail)};
}

Refusal FailMaybeRun(base::Code code, int status, std::string detail) {
  return {status, code, base::Ran::kMaybe, std::nullopt, std::move(detail)};
}

std::string ToHttpResponse(const Refusal& refusal,
                           const base::AttemptId& attempt,
                           bool close) {
  const std::string body =
      nlohmann::json{{"code", static_cast<int>(refusal.code)},
                     {"name", base::InfoOf(refusal.code).name},
                     {"detail", refusal.detail},
                     {"ran", base::ToString(refusal.ran)}}
          .dump();
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(refusal.status)));
  std::string response = "HTTP/1.1 " + std::to_string(refusal.status) + " " +
                         std::string(reason) + "\r\n";
  platform::AppendAttemptField(attempt, response);
  if (refusal.retry_after)
    response += "Retry-After: " + FormatSeconds(*refusal.retry_after) + "\r\n";
  response += "Content-Type: application/problem+json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n";
  if (close)
    response += "Connection: close\r\n";
  return response + "\r\n" + body;
}

}  // namespace dandelionmill::gateway
