#ifndef SRC_DANDELIONMILL_ROUTER_CALLER_STREAM_H_
#define SRC_DANDELIONMILL_ROUTER_CALLER_STREAM_H_

#include <memory>

#include "dandelionmill/net/http_message.h"
#include "dandelionmill/router/model_exchange.h"
#include "dandelionmill/router/router_context.h"

namespace dandelionmill::router {

// Writes the answer of an exchange to the caller as server-sent events. Events
// that are available at the same time are sent in one write.
class CallerStream {
 public:
  // `first` is the step already read from `exchange`.
  CallerStream(RouterContext& context,
               std::shared_ptr<ModelExchange> exchange,
               AnswerStep first);

  // Writes the answer until it ends or the caller disconnects; in the latter
  // case abandons the exchange. Returns whether the end of the answer was
  // written.
  bool Run(net::BodyWriter& writer);

 private:
  // Writes one step. Returns whether more steps follow.
  bool WriteStep(const AnswerStep& step, net::BodyWriter& writer);
  bool WriteChunks(const AnswerChunks& chunks, net::BodyWriter& writer);
  void WriteProblem(const Problem& problem, net::BodyWriter& writer);
  void WriteEnd(const std::string& event, net::BodyWriter& writer);

  RouterContext& context_;
  const std::shared_ptr<ModelExchange> exchange_;
  AnswerStep first_;
  std::uint64_t sequence_ = 0;
  std::string buffer_;
  base::MonoTime last_write_at_;
  // Whether the final event was written.
  bool end_delivered_ = false;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_CALLER_STREAM_H_
