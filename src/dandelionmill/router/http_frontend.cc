#include "dandelionmill/router/http_frontend.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "dandelionmill/router/caller_response.h"
#include "dandelionmill/router/model_handler.h"
#include "dandelionmill/router/plain_handler.h"

namespace dandelionmill::router {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kPayloadTooLarge = 413;
constexpr int kFailed = 500;
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::array<std::string_view, 6> kServiceMethods = {
    "GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

// Fills in the problem for a request that the HTTP server itself refused.
void FillServerError(net::HttpResponse& response) {
  Problem problem{{base::Code::kMalformedRequest, ""}};
  if (response.status == kPayloadTooLarge)
    problem.error.code = base::Code::kBodyTooLarge;
  else if (response.status == kFailed)
    problem = {{base::Code::kInternal, ""}, base::Ran::kMaybe};
  RespondWithProblem(problem, base::RequestKey(), response);
}

// The service of a plain call, and the path with its leading slash.
struct ServicePath {
  std::string service;
  std::string path;
};

// Returns nullopt if the request does not address a plain service.
std::optional<ServicePath> ParseServicePath(const net::HttpRequest& request) {
  if (!boost::algorithm::starts_with(request.path, kServicePrefix) ||
      std::find(kServiceMethods.begin(), kServiceMethods.end(),
                request.method) == kServiceMethods.end())
    return std::nullopt;
  const std::string rest = request.path.substr(kServicePrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  if (slash == 0)
    return std::nullopt;
  return ServicePath{rest.substr(0, slash), rest.substr(slash)};
}

}  // namespace

HttpFrontend::HttpFrontend(boost::asio::io_context& loop,
                           net::AsyncHttpServer::Options options,
                           RouterContext& context,
                           std::function<bool()> is_healthy)
    : context_(context),
      is_healthy_(std::move(is_healthy)),
      server_(
          loop,
          std::move(options),
          [this](net::Fiber& fiber,
                 const net::HttpRequest& request,
                 net::HttpResponse& response) {
            Handle(fiber, request, response);
          },
          FillServerError) {}

void HttpFrontend::Handle(net::Fiber& fiber,
                          const net::HttpRequest& request,
                          net::HttpResponse& response) {
  if (request.method == "GET" && request.path == "/healthz") {
    response.status = is_healthy_() ? kOk : kUnavailable;
    response.content_type = "text/plain";
    response.body = response.status == kOk ? "ok\n" : "leaving\n";
    return;
  }
  const bool chat = request.path == "/v1/chat/completions";
  if (request.method == "POST" && (chat || request.path == "/v1/completions"))
    return HandleModelRequest(fiber, context_, request, chat, response);
  if (const auto service = ParseServicePath(request)) {
    return HandlePlainRequest(fiber, context_, request,
                              base::ServiceId(service->service), service->path,
                              response);
  }
  RespondWithProblem({{base::Code::kUnknownService, "there is no such path"}},
                     base::RequestKey(), response);
}

}  // namespace dandelionmill::router
