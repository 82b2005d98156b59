#ifndef SRC_DANDELIONMILL_ROUTER_MODEL_EXCHANGE_H_
#define SRC_DANDELIONMILL_ROUTER_MODEL_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/backend/attempt_stream.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/router/answer_prefix.h"
#include "dandelionmill/router/fiber_mailbox.h"
#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/router_context.h"

namespace dandelionmill::router {

// The possible results of ModelExchange::Next.

// The next chunks of the answer, in order, each the data of one event.
struct AnswerChunks {
  std::vector<std::string> chunks;
};
// The answer is complete.
struct AnswerComplete {
  backend::Usage usage;
};
// The request failed or was refused.
struct AnswerFailed {
  Problem problem;
};
// The backend server answered with an HTTP error.
struct BackendError {
  int status = 0;
  std::string body;
};
// Nothing new arrived in the given time.
struct AnswerPending {};

using AnswerStep = std::variant<AnswerPending,
                                AnswerChunks,
                                AnswerComplete,
                                AnswerFailed,
                                BackendError>;

// Serves one model request in the caller's fiber: submits it to the router
// actor, reads the answer from the backend servers that the actor selects, and
// reports the end of each attempt. Unless the exchange has finished, Abandon
// must be called before it is destroyed.
class ModelExchange {
 public:
  ModelExchange(net::Fiber& fiber,
                RouterContext& context,
                std::shared_ptr<const RequestInfo> info,
                std::string path,
                std::string body);
  ModelExchange(const ModelExchange&) = delete;
  ModelExchange& operator=(const ModelExchange&) = delete;

  // Waits until `until` for the next step. A step other than AnswerChunks and
  // AnswerPending finishes the exchange.
  AnswerStep Next(base::MonoTime until);

  // Handles the caller's disconnection: depending on the router actor's
  // decision the attempt is cancelled, or read to its end for a retry that may
  // arrive at another router. Returns when the exchange has finished.
  void Abandon();

  const RequestInfo& info() const { return *info_; }

 private:
  using OptionalStep = std::optional<AnswerStep>;

  OptionalStep OnInstruction(const Instruction& instruction);
  void StartAttempt(const RunAttempt& run);
  AnswerStep ReadStream(base::MonoTime until);
  // Appends to `chunks` the events not yet delivered to the caller. Returns
  // false if the run differs from what was delivered.
  bool ProcessEvents(const std::vector<backend::SseEvent>& events,
                     AnswerChunks& chunks);
  AnswerStep OnStreamEnd(const backend::StreamEnd& end);
  // Cancels the attempt at the backend server and reports its end. A shared
  // attempt is not cancelled.
  void Cancel();
  void EndAttempt(routing::AttemptResult ending,
                  wire::Outcome outcome,
                  const backend::Usage& usage);
  AnswerStep Fail(base::Code code, base::Ran ran, std::string detail);
  AnswerStep Finish(AnswerStep step);

  net::Fiber& fiber_;
  RouterContext& context_;
  const std::shared_ptr<const RequestInfo> info_;
  const std::string path_;
  const std::string body_;
  FiberMailbox mailbox_;
  const base::MonoTime started_at_;

  std::optional<RunAttempt> attempt_;
  std::unique_ptr<backend::AttemptStream> stream_;
  // The end of the stream, if it arrived together with the last chunks.
  std::optional<backend::StreamEnd> pending_end_;
  AnswerPrefix prefix_;
  bool prompt_reported_ = false;
  bool abandoned_ = false;
  bool shared_ = false;
  bool finished_ = false;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_MODEL_EXCHANGE_H_
