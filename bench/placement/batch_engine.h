#ifndef BENCH_PLACEMENT_BATCH_ENGINE_H_
#define BENCH_PLACEMENT_BATCH_ENGINE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "bench/routing/timeline.h"
#include "dandelionmill/gateway/placement.h"

namespace bench::placement {

using dandelionmill::base::Tokens;
namespace gateway = dandelionmill::gateway;
using bench::routing::Timeline;

// A request as a model engine sees it.
struct Work {
  std::uint64_t number = 0;
  // 0 is the most urgent.
  int priority = 5;
  gateway::ModelRequest model_request;
  // Events of the answer.
  int events = 1;
};

// A model engine that runs requests in batches: in each step every running
// request makes a token, and prompts are read in pieces between them, so that
// long prompts and full batches slow all of them down. Running requests and
// cached prompt parts share its memory.
class BatchEngine {
 public:
  struct Options {
    int slots = 64;
    Tokens memory = 575639;
    std::chrono::microseconds step{2890};
    // Added to a step by each running request.
    std::chrono::microseconds step_per_request{101};
    // From a token to the caller, for each event.
    std::chrono::milliseconds event_delay{15};
    double prompt_tokens_per_ms = 55;
    Tokens prompt_tokens_per_step = 2048;
    int tokens_per_event = 6;
    // Requests that wait at most; more are turned away.
    int max_waiting = 134;
    // Whether more urgent requests are admitted first.
    bool by_priority = true;
  };
  struct Hooks {
    // An event of a request's answer; the first comes after its prompt. `load`
    // is that at the time when the engine wrote the event.
    std::function<void(std::uint64_t number,
                       int event,
                       const gateway::ResponseMetadata::Load& load)>
        event;
  };

  BatchEngine(Timeline& timeline, Options options, Hooks hooks);

  // Commands.
  // Returns false when it is full, and runs nothing.
  bool Submit(Work work);
  void Cancel(std::uint64_t number);
  // All running requests stop, and the cache is lost.
  void Crash();
  // 1 is as fast as usual, 3 takes three times as long.
  void SetSlowness(double slowness) { slowness_ = slowness; }
  // Load reports have the slowness as a fourth figure.
  void ReportSlowness() { reports_slowness_ = true; }

  // Queries.
  gateway::ResponseMetadata::Load Load() const;
  // Tokens of shared parts that were read here.
  Tokens shared_tokens_read() const { return shared_tokens_read_; }

 private:
  struct Running {
    Work work;
    Tokens unread = 0;
    Tokens made = 0;
  };

  void Admit();
  void ScheduleStep();
  void Step();
  Tokens RunningTokens() const;
  // Returns the tokens of the prompt that must be read, and caches its parts.
  Tokens UseCache(const gateway::ModelRequest& model_request);
  void Trim();

  Timeline& timeline_;
  const Options options_;
  const Hooks hooks_;
  std::list<Work> waiting_;
  std::list<Running> running_;
  // Cached parts, the most recently used first.
  std::list<std::pair<std::string, Tokens>> cached_;
  std::map<std::string, std::list<std::pair<std::string, Tokens>>::iterator>
      by_id_;
  Tokens cached_tokens_ = 0;
  Tokens shared_tokens_read_ = 0;
  double slowness_ = 1;
  bool reports_slowness_ = false;
  bool is_stepping_ = false;
  // Steps of an earlier life are not carried out.
  int life_ = 0;
};

}  // namespace bench::placement

#endif  // BENCH_PLACEMENT_BATCH_ENGINE_H_
