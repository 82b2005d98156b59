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
    // Every event up to the end marker "[DONE]" was delivered.
    kCompleted,
    // No connection was established; no byte was sent.
    kNotSent,
    // The backend server rejected the attempt before running it: `status` is
    // 429, 503, or 404 for a model that is not loaded.
    kRejected,
    // The backend server responded with the error in `status` and `body`.
    kErrorResponse,
    // The backend server has no record of the attempt or is down.
    kCrashed,
    // The backend server became unreachable, resuming brought no new event, or
    // the start was answered with a 5xx status other than 503. The attempt may
    // still be running.
    kBroken,
    // The backend server's record shows that the attempt was cancelled.
    kCancelled,
  };
  Kind kind = Kind::kBroken;
  int status = 0;
  std::string body;
};

// The event stream of one attempt at a model engine, across connections: each
// event is delivered exactly once and in order. After a lost connection, a gap
// that is not filled in time, or a connection that lags behind the backend
// server's record, the stream resumes after the last event over a new
// connection. Must be used by one fiber only.
class AttemptStream {
 public:
  struct Timeouts {
    // Time without events after which the backend server is probed.
    std::chrono::milliseconds silent_after{1000};
    // How long to wait for a missing event before resuming.
    std::chrono::milliseconds gap_timeout{150};
    std::chrono::milliseconds probe_timeout{400};
    // How long an unreachable backend server is probed before giving up.
    std::chrono::milliseconds give_up_after{3000};
  };
  struct Options {
    net::Address address;
    base::AttemptId attempt;
    // The request that starts the attempt. If empty, the events of a running
    // attempt are read from the first one.
    std::optional<net::HttpClientRequest> start;
    Timeouts timeouts;
  };
  // Events in order, and the end of the stream once it is reached.
  struct Step {
    std::vector<SseEvent> events;
    std::optional<StreamEnd> end;
  };
  // Counters for metrics.
  struct Counts {
    // Connections opened to resume after the first event.
    int resumes = 0;
    // Silent connections replaced because they lagged behind the backend
    // server's record.
    int silent_reconnects = 0;
  };

  AttemptStream(net::Fiber& fiber, Options options);
  ~AttemptStream();

  // Returns as soon as there are events or the end, and an empty step at
  // `deadline`. Probes may delay the return: by about `probe_timeout` on a
  // silent connection, by up to about `give_up_after` after a lost one.
  Step Next(base::MonoTime deadline);

  // The tokens used according to the events received. The prompt count is valid
  // only if prompt_known(), that is once the engine has reported it.
  const Usage& usage() const { return usage_; }
  bool prompt_known() const { return prompt_known_; }
  const Counts& counts() const { return counts_; }

 private:
  using Outcome = std::optional<StreamEnd>;

  // Replaces the connection by a new one that sends `call`.
  void Open(net::HttpClientRequest call);
  // Resumes over a new connection. Ends the stream after too many resumes in a
  // row without a new event.
  Outcome Resume();
  // Processes received events and returns those that are now in order.
  std::vector<SseEvent> ProcessEvents(std::vector<SseEvent> events);
  Outcome OnConnectionEnd(const ReadEnd& end);
  Outcome OnStartResponse(const ReadEnd& end) const;
  // Probes the backend server after a lost connection, then resumes or ends the
  // stream.
  Outcome ProbeAfterDisconnect();
  // Compares a silent connection with the backend server's record.
  Outcome ProbeSilentConnection(base::MonoTime now);
  base::MonoTime NextWakeup(base::MonoTime deadline) const;

  net::Fiber& fiber_;
  const Options options_;
  std::unique_ptr<StreamReader> reader_;
  bool starting_ = false;
  Sequencer sequencer_;
  Usage usage_;
  bool prompt_known_ = false;
  bool done_ = false;
  Counts counts_;

  base::MonoTime last_event_at_;
  base::MonoTime silence_check_at_;
  std::optional<base::MonoTime> gap_since_;
  int resumes_without_event_ = 0;
  int negative_probes_ = 0;
};

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_ATTEMPT_STREAM_H_
