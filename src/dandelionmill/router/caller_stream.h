#ifndef SRC_DANDELIONMILL_ROUTER_CALLER_STREAM_H_
#define SRC_DANDELIONMILL_ROUTER_CALLER_STREAM_H_

#include <memory>

#include "dandelionmill/net/http_message.h"
#include "dandelionmill/router/model_exchange.h"
#include "dandelionmill/router/traffic.h"

namespace dandelionmill::router {

// Writes the answer of an exchange to its caller as server-sent events. Events
// that are ready together go out in one write.
class CallerStream {
 public:
  // `first` is the part of the answer that was read already.
  CallerStream(Traffic& traffic,
               std::shared_ptr<ModelExchange> exchange,
               AnswerStep first);

  // Writes the answer to its end, or until the caller is gone; then sees to the
  // request's end. Returns whether the answer has its end.
  bool Run(net::BodyWriter& writer);

 private:
  // Writes one part. Returns whether there is more to write.
  bool WriteStep(const AnswerStep& step, net::BodyWriter& writer);
  bool WriteChunks(const AnswerChunks& chunks, net::BodyWriter& writer);
  void WriteProblem(const Problem& problem, net::BodyWriter& writer);
  void WriteEnd(const std::string& event, net::BodyWriter& writer);

  Traffic& traffic_;
  const std::shared_ptr<ModelExchange> exchange_;
  AnswerStep first_;
  std::uint64_t sequence_ = 0;
  std::string buffer_;
  base::MonoTime wrote_at_;
  // Whether the caller has the end of the answer.
  bool ended_ = false;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_CALLER_STREAM_H_
