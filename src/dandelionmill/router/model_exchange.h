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
#include "dandelionmill/router/traffic.h"

namespace dandelionmill::router {

// What a model request gives next.

// Chunks of the answer, in order, each the data of one event.
struct AnswerChunks {
  std::vector<std::string> chunks;
};
// The answer is complete.
struct AnswerComplete {
  backend::Usage usage;
};
// The request has failed, or was refused.
struct AnswerFailed {
  Problem problem;
};
// The backend server's own error answer.
struct BackendError {
  int status = 0;
  std::string body;
};
// Nothing happened in the time given.
struct NothingYet {};

using AnswerStep = std::variant<NothingYet,
                                AnswerChunks,
                                AnswerComplete,
                                AnswerFailed,
                                BackendError>;

// Serves one model request in the caller's fiber: asks the router actor to run
// it, reads the answer from the backend servers that the actor names, and
// reports each attempt's end. Abandon must be called before it is destroyed
// unless it is over.
class ModelExchange {
 public:
  ModelExchange(net::Fiber& fiber,
                Traffic& traffic,
                std::shared_ptr<const RequestInfo> info,
                std::string path,
                std::string body);
  ModelExchange(const ModelExchange&) = delete;
  ModelExchange& operator=(const ModelExchange&) = delete;

  // Waits until `until` for the next part. After a part other than
  // AnswerChunks and NothingYet the exchange is over.
  AnswerStep Next(base::MonoTime until);

  // The caller is gone: sees to it that the request is cancelled, or runs on
  // to its end for a retry that may come elsewhere. Returns when it is over.
  void Abandon();

  const RequestInfo& info() const { return *info_; }

 private:
  using Maybe = std::optional<AnswerStep>;

  Maybe OnInstruction(const Instruction& instruction);
  void Run(const RunOn& run);
  AnswerStep ReadStream(base::MonoTime until);
  // Adds to `chunks` what is new to the caller. Returns false when the run
  // differs from what the caller has.
  bool TakeEvents(const std::vector<backend::SseEvent>& events,
                  AnswerChunks& chunks);
  AnswerStep OnStreamEnd(const backend::StreamEnd& end);
  // Cancels the attempt at the backend server and reports its end.
  void Cancel();
  void EndAttempt(routing::Ending ending,
                  wire::Outcome outcome,
                  const backend::Usage& usage);
  AnswerStep Fail(base::Code code, base::Ran ran, std::string detail);
  AnswerStep Over(AnswerStep step);

  net::Fiber& fiber_;
  Traffic& traffic_;
  const std::shared_ptr<const RequestInfo> info_;
  const std::string path_;
  const std::string body_;
  FiberMailbox mailbox_;
  const base::MonoTime began_at_;

  std::optional<RunOn> run_;
  std::unique_ptr<backend::AttemptStream> stream_;
  // An end that came together with the last chunks.
  std::optional<backend::StreamEnd> pending_end_;
  AnswerPrefix prefix_;
  bool prompt_reported_ = false;
  bool abandoned_ = false;
  bool shared_ = false;
  bool over_ = false;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_MODEL_EXCHANGE_H_
