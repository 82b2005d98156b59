#ifndef SRC_DANDELIONMILL_BACKEND_ATTEMPT_STREAM_H_
#define SRC_DANDELIONMILL_BACKEND_ATTEMPT_STREAM_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/backend/chunk.h"
#include "dandelionmill/backend/probe.h"
#include "dandelionmill/backend/sequencer.h"
#include "dandelionmill/backend/stream_reader.h"
#include "dandelionmill/base/ids.h"

namespace dandelionmill::backend {

// How the stream of an attempt ended.
struct StreamEnd {
  enum class Kind {
    // Every event up to the end mark was delivered.
    kCompleted,
    // No byte reached the backend server.
    kNotSent,
    // It refused before running: `status` is 429, 503, or 404 for a model that
    // it has not loaded.
    kRejected,
    // It answered with the error in `status` and `body`.
    kAnsweredError,
    // It lost the attempt or is down.
    kCrashed,
    // It could not be reached any more; it may be alive.
    kBroken,
    // Its record says that the attempt was cancelled.
    kCancelled,
  };
  Kind kind = Kind::kBroken;
  int status = 0;
  std::string body;
};

// The event stream of one attempt at a model engine, across connections: each
// event is delivered once and in order. A broken connection, a lasting gap or
// a silent connection leads to a new one that resumes after the last event.
// Used by one fiber.
class AttemptStream {
 public:
  struct Tuning {
    // Silence after which the connection is compared with a probe.
    std::chrono::milliseconds silent_after{1000};
    // How long a missing event may still arrive by itself.
    std::chrono::milliseconds gap_patience{150};
    std::chrono::milliseconds probe_timeout{400};
    // How long an unreachable backend server is asked again.
    std::chrono::milliseconds give_up_after{3000};
  };
  struct Options {
    net::Address address;
    base::AttemptId attempt;
    // What starts the attempt; without it, a running one is read from its
    // first event.
    std::optional<net::HttpCall> start;
    Tuning tuning;
  };
  // Events in order, and the end once it is reached.
  struct Step {
    std::vector<SseEvent> events;
    std::optional<StreamEnd> end;
  };
  // What happened on the way, for metrics.
  struct Counts {
    int resumes = 0;
    int silent_moves = 0;
  };

  AttemptStream(net::Fiber& fiber, Options options);
  ~AttemptStream();

  // Returns as soon as there are events or the end, with nothing at `until`.
  // A probe in progress may delay it by about `probe_timeout`.
  Step Next(base::MonoTime until);

  // The tokens used, as far as they were received; `prompt_known` tells whether
  // the engine has reported the prompt.
  const Usage& usage() const { return usage_; }
  bool prompt_known() const { return prompt_known_; }
  const Counts& counts() const { return counts_; }

 private:
  using Outcome = std::optional<StreamEnd>;

  void Open(net::HttpCall call);
  // Reads on over a new connection; ends the stream when that was tried too
  // often without a new event.
  Outcome Resume();
  // Notes that `events` came and returns those that are now in order.
  std::vector<SseEvent> Deliver(std::vector<SseEvent> events);
  Outcome OnConnectionEnd(const ReadEnd& end);
  Outcome OnStartAnswer(const ReadEnd& end) const;
  // Asks why the connection ended; resumes or ends the stream.
  Outcome Investigate();
  // Compares a quiet connection with what a probe says.
  Outcome CheckSilence(base::MonoTime now);
  base::MonoTime NextCheck(base::MonoTime until) const;

  net::Fiber& fiber_;
  const Options options_;
  std::unique_ptr<StreamReader> reader_;
  bool starting_ = false;
  Sequencer sequencer_;
  Usage usage_;
  bool prompt_known_ = false;
  bool done_ = false;
  Counts counts_;

  base::MonoTime heard_at_;
  base::MonoTime check_at_;
  std::optional<base::MonoTime> gap_since_;
  int resumes_without_event_ = 0;
  int doubtful_checks_ = 0;
};

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_ATTEMPT_STREAM_H_
