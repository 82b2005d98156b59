#ifndef SRC_DANDELIONMILL_ROUTER_ANSWER_PREFIX_H_
#define SRC_DANDELIONMILL_ROUTER_ANSWER_PREFIX_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace dandelionmill::router {

// Records a hash of each answer chunk delivered to the caller. A second run of
// the request can then continue where the first one stopped, provided that it
// produces the same answer.
class AnswerPrefix {
 public:
  enum class Comparison {
    // The chunk was delivered by an earlier run.
    kDelivered,
    // The chunk extends the answer and is to be delivered.
    kNew,
    // The chunk differs from the one delivered: the answer cannot be completed.
    kMismatch,
  };

  // Starts a run of the request; its chunks are compared from the first one on.
  void BeginRun() { position_ = 0; }
  // Compares the next chunk of the run and records it if it is new.
  Comparison Add(std::string_view chunk);
  // Whether the run has reproduced every delivered chunk.
  bool CaughtUp() const { return position_ >= delivered_.size(); }
  // Whether any part of the answer was delivered.
  bool any_delivered() const { return !delivered_.empty(); }

 private:
  std::vector<std::uint64_t> delivered_;
  std::size_t position_ = 0;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_ANSWER_PREFIX_H_
