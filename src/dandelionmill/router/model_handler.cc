#include "dandelionmill/router/model_handler.h"

#include <boost/coroutine/exceptions.hpp>
#include <exception>
#include <utility>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/router/caller_answer.h"
#include "dandelionmill/router/caller_stream.h"
#include "dandelionmill/router/model_exchange.h"
#include "dandelionmill/router/whole_answer.h"

namespace dandelionmill::router {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kStep{1000};
constexpr char kJson[] = "application/json";

bool IsNothing(const AnswerStep& step) {
  return std::holds_alternative<NothingYet>(step);
}

// Waits for the first part of an answer, which decides the HTTP status.
AnswerStep First(ModelExchange& exchange) {
  AnswerStep step;
  while (IsNothing(step))
    step = exchange.Next(steady_clock::now() + kStep);
  return step;
}

// Answers `step` if it is an error; returns whether it was.
bool AnsweredError(const AnswerStep& step,
                   const base::RequestKey& key,
                   net::HttpResponse& response) {
  if (const auto* failed = std::get_if<AnswerFailed>(&step)) {
    AnswerProblem(failed->problem, key, response);
    return true;
  }
  if (const auto* error = std::get_if<BackendError>(&step)) {
    SetAnswerHeaders(key, base::Ran::kNo, response);
    response.status = error->status;
    response.content_type = kJson;
    response.body = error->body;
    return true;
  }
  return false;
}

// Calls `run`; if it throws, ends the exchange before the exception goes on.
template <class Run>
void EndIfThrown(ModelExchange& exchange, const Run& run) {
  std::exception_ptr thrown;
  try {
    run();
  } catch (const boost::coroutines::detail::forced_unwind&) {
    // The loop is being destroyed: nothing can be waited for.
    throw;
  } catch (...) {
    thrown = std::current_exception();
  }
  if (!thrown)
    return;
  // Waits, which a fiber must not do while it handles an exception.
  exchange.Abandon();
  std::rethrow_exception(thrown);
}

void AnswerWhole(const std::shared_ptr<ModelExchange>& exchange,
                 bool chat,
                 net::HttpResponse& response) {
  const base::RequestKey& key = exchange->info().key;
  WholeAnswer answer(chat, exchange->info().request.model, key);
  for (;;) {
    const AnswerStep step = First(*exchange);
    if (AnsweredError(step, key, response))
      return;
    if (const auto* chunks = std::get_if<AnswerChunks>(&step)) {
      for (const std::string& chunk : chunks->chunks)
        answer.Add(chunk);
      continue;
    }
    SetAnswerHeaders(key, base::Ran::kYes, response);
    response.content_type = kJson;
    response.body = answer.ToJson(std::get<AnswerComplete>(step).usage);
    return;
  }
}

void AnswerStream(Traffic& traffic,
                  const std::shared_ptr<ModelExchange>& exchange,
                  net::HttpResponse& response) {
  AnswerStep first = First(*exchange);
  const base::RequestKey& key = exchange->info().key;
  if (AnsweredError(first, key, response))
    return;
  SetAnswerHeaders(key, base::Ran::kYes, response);
  response.fields.Add("Cache-Control", "no-store");
  auto stream =
      std::make_shared<CallerStream>(traffic, exchange, std::move(first));
  response.content_type = "text/event-stream";
  response.write_body = [stream, exchange](net::Fiber&,
                                           net::BodyWriter& writer) {
    bool is_complete = false;
    EndIfThrown(*exchange, [&] { is_complete = stream->Run(writer); });
    return is_complete;
  };
}

}  // namespace

void HandleModelRequest(net::Fiber& fiber,
                        Traffic& traffic,
                        const net::HttpRequest& request,
                        bool chat,
                        net::HttpResponse& response) {
  const auto admitted = Admit(traffic, request, response);
  if (!admitted)
    return;
  const base::RequestKey& key = admitted->terms.key;
  auto parsed = ReadModelRequest(request.body, chat, *admitted->config);
  if (!base::IsOk(parsed)) {
    const Problem problem{base::ErrorOf(parsed)};
    traffic.metrics().CountRefusal(problem.error.code);
    return AnswerProblem(problem, key, response);
  }
  ModelRequest model = base::ValueOf(std::move(parsed));
  RequestInfo info =
      MakeInfo(traffic, *admitted, *model.service, request, request.body);
  info.request.model = model.model;
  info.request.replayable = info.request.idempotent;
  info.request.adapter = model.adapter;
  info.request.prefix_blocks = std::move(model.prefix_blocks);
  info.request.expected_tokens = model.prompt_bound + model.output_cap;
  info.prompt_bound = model.prompt_bound;
  info.output_cap = model.output_cap;
  const auto exchange = std::make_shared<ModelExchange>(
      fiber, traffic, std::make_shared<const RequestInfo>(std::move(info)),
      request.path, std::move(model.body));
  EndIfThrown(*exchange, [&] {
    if (model.stream)
      AnswerStream(traffic, exchange, response);
    else
      AnswerWhole(exchange, chat, response);
  });
}

}  // namespace dandelionmill::router
