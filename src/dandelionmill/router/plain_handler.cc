#include "dandelionmill/router/plain_handler.h"

#include <utility>

#include "dandelionmill/router/caller_response.h"
#include "dandelionmill/router/plain_exchange.h"

namespace dandelionmill::router {
namespace {

using base::Code;

// Returns the part of the raw target after the service name, including the
// query and with percent-encoding kept.
std::string PathBelowService(const std::string& target) {
  const std::string prefix = "/v1/services/";
  const std::size_t slash = target.find('/', prefix.size());
  if (slash == std::string::npos)
    return "/";
  return target.substr(slash);
}

void Respond(const PlainResult& result,
             const base::RequestKey& key,
             net::HttpResponse& response) {
  SetResponseHeaders(key, result.ran, response);
  response.status = result.answer.status;
  response.body = result.answer.body;
  response.content_type = result.answer.content_type.empty()
                              ? "application/octet-stream"
                              : result.answer.content_type;
}

}  // namespace

void HandlePlainRequest(net::Fiber& fiber,
                        RouterContext& context,
                        const net::HttpRequest& request,
                        const base::ServiceId& service_id,
                        const std::string& path,
                        net::HttpResponse& response) {
  const auto admitted = Admit(context, request, response);
  if (!admitted)
    return;
  const base::RequestKey& key = admitted->parameters.key;
  const inventory::Service* service = admitted->config->FindService(service_id);
  if (service == nullptr || service->kind != inventory::ServiceKind::kPlain) {
    const Problem problem{
        {Code::kUnknownService, "the inventory names no such plain service"}};
    context.metrics().CountRefusal(problem.error.code);
    return RespondWithProblem(problem, key, response);
  }
  PlainCall call;
  call.method = request.method;
  call.path = PathBelowService(request.target);
  call.content_type = request.fields.Get("Content-Type");
  call.body = request.body;
  call.tokens = service->tokens_per_request;
  RequestInfo info =
      MakeRequestInfo(context, *admitted, *service, request,
                      call.method + "\n" + call.path + "\n" + call.body);
  if (IsNonIdempotentPath(*service, path))
    info.request.idempotent = false;
  info.request.expected_tokens = call.tokens;
  info.prompt_bound = call.tokens;
  const auto result =
      RunPlainCall(fiber, context,
                   std::make_shared<const RequestInfo>(std::move(info)), call);
  if (const auto* problem = std::get_if<Problem>(&result))
    return RespondWithProblem(*problem, key, response);
  Respond(std::get<PlainResult>(result), key, response);
}

}  // namespace dandelionmill::router
