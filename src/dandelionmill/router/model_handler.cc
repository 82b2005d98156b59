#include "dandelionmill/router/model_handler.h"

#include <boost/coroutine/exceptions.hpp>
#include <exception>
#include <utility>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/router/caller_response.h"
#include "dandelionmill/router/caller_stream.h"
#include "dandelionmill/router/completion_builder.h"
#include "dandelionmill/router/model_exchange.h"

namespace dandelionmill::router {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kWaitStep{1000};
constexpr char kJson[] = "application/json";

bool IsPending(const AnswerStep& step) {
  return std::holds_alternative<AnswerPending>(step);
}

// Waits for the next step other than AnswerPending. The first step of an answer
// determines the HTTP status.
AnswerStep WaitForStep(ModelExchange& exchange) {
  AnswerStep step;
  while (IsPending(step))
    step = exchange.Next(steady_clock::now() + kWaitStep);
  return step;
}

// If `step` is an error, fills `response` with it and returns true.
bool RespondIfError(const AnswerStep& step,
                    const base::RequestKey& key,
                    net::HttpResponse& response) {
  if (const auto* failed = std::get_if<AnswerFailed>(&step)) {
    RespondWithProblem(failed->problem, key, response);
    return true;
  }
  if (const auto* error = std::get_if<BackendError>(&step)) {
    SetResponseHeaders(key, base::Ran::kNo, response);
    response.status = error->status;
    response.content_type = kJson;
    response.body = error->body;
    return true;
  }
  return false;
}

// Calls `function`; if it throws, abandons the exchange and rethrows the
// exception.
template <class Function>
void AbandonOnException(ModelExchange& exchange, const Function& function) {
  std::exception_ptr thrown;
  try {
    function();
  } catch (const boost::coroutines::detail::forced_unwind&) {
    // The event loop is being destroyed, so the fiber can no longer wait.
    throw;
  } catch (...) {
    thrown = std::current_exception();
  }
  if (!thrown)
    return;
  // Outside the catch block: Abandon suspends the fiber, which is not allowed
  // while an exception is being handled.
  exchange.Abandon();
  std::rethrow_exception(thrown);
}

void RespondWithDocument(const std::shared_ptr<ModelExchange>& exchange,
                         bool chat,
                         net::HttpResponse& response) {
  const base::RequestKey& key = exchange->info().key;
  CompletionBuilder answer(chat, exchange->info().request.model, key);
  for (;;) {
    const AnswerStep step = WaitForStep(*exchange);
    if (RespondIfError(step, key, response))
      return;
    if (const auto* chunks = std::get_if<AnswerChunks>(&step)) {
      for (const std::string& chunk : chunks->chunks)
        answer.Add(chunk);
      continue;
    }
    SetResponseHeaders(key, base::Ran::kYes, response);
    response.content_type = kJson;
    response.body = answer.ToJson(std::get<AnswerComplete>(step).usage);
    return;
  }
}

void RespondWithStream(RouterContext& context,
                       const std::shared_ptr<ModelExchange>& exchange,
                       net::HttpResponse& response) {
  AnswerStep first = WaitForStep(*exchange);
  const base::RequestKey& key = exchange->info().key;
  if (RespondIfError(first, key, response))
    return;
  SetResponseHeaders(key, base::Ran::kYes, response);
  response.fields.Add("Cache-Control", "no-store");
  auto stream =
      std::make_shared<CallerStream>(context, exchange, std::move(first));
  response.content_type = "text/event-stream";
  response.write_body = [stream, exchange](net::Fiber&,
                                           net::BodyWriter& writer) {
    bool is_complete = false;
    AbandonOnException(*exchange, [&] { is_complete = stream->Run(writer); });
    return is_complete;
  };
}

}  // namespace

void HandleModelRequest(net::Fiber& fiber,
                        RouterContext& context,
                        const net::HttpRequest& request,
                        bool chat,
                        net::HttpResponse& response) {
  const auto admitted = Admit(context, request, response);
  if (!admitted)
    return;
  const base::RequestKey& key = admitted->parameters.key;
  auto parsed = ReadModelRequest(request.body, chat, *admitted->config);
  if (!base::IsOk(parsed)) {
    const Problem problem{base::ErrorOf(parsed)};
    context.metrics().CountRefusal(problem.error.code);
    return RespondWithProblem(problem, key, response);
  }
  ModelRequest model = base::ValueOf(std::move(parsed));
  RequestInfo info = MakeRequestInfo(context, *admitted, *model.service,
                                     request, request.body);
  info.request.model = model.model;
  info.request.replayable = info.request.idempotent;
  info.request.adapter = model.adapter;
  info.request.prefix_blocks = std::move(model.prefix_blocks);
  info.request.expected_tokens = model.prompt_bound + model.output_cap;
  info.prompt_bound = model.prompt_bound;
  info.output_cap = model.output_cap;
  const auto exchange = std::make_shared<ModelExchange>(
      fiber, context, std::make_shared<const RequestInfo>(std::move(info)),
      request.path, std::move(model.body));
  AbandonOnException(*exchange, [&] {
    if (model.stream)
      RespondWithStream(context, exchange, response);
    else
      RespondWithDocument(exchange, chat, response);
  });
}

}  // namespace dandelionmill::router
