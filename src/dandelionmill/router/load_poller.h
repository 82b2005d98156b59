#ifndef SRC_DANDELIONMILL_ROUTER_LOAD_POLLER_H_
#define SRC_DANDELIONMILL_ROUTER_LOAD_POLLER_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/router/router_actor.h"

namespace dandelionmill::router {

// Selects the backend servers whose load a router polls: at most `limit` per
// service, first those of its own zone, then those of its own region, then
// others. Within each group `seed` determines the order, so that routers poll
// different samples.
std::vector<inventory::Backend> SelectPolledBackends(
    const inventory::Snapshot& config,
    const base::ZoneId& zone,
    int limit,
    std::uint64_t seed);

// Polls backend servers for their load and cache events, on threads of its own,
// and passes the results to a callback.
class LoadPoller {
 public:
  struct Options {
    std::chrono::milliseconds period{500};
    std::chrono::milliseconds timeout{1000};
    int threads = 4;
  };
  using ReportResult = std::function<void(LoadPollResult)>;

  LoadPoller(Options options, ReportResult report_result);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

  // Replaces the set of polled backend servers. Servers whose address has not
  // changed keep their polling state.
  void SetBackends(const std::vector<inventory::Backend>& backends,
                   const inventory::Snapshot& config);
  // Ends the polling threads; waits for polls in progress.
  void Stop();

 private:
  struct Target {
    inventory::Backend backend;
    bool has_cache_events = false;
    base::MonoTime due;
    bool polling = false;
    // Sequence number of the last cache event received.
    std::uint64_t last_event = 0;
  };

  void Run();
  // Waits until a target is due, marks it as being polled and returns it;
  // returns nullptr when stopping.
  std::shared_ptr<Target> WaitForDueTarget();
  LoadPollResult Poll(Target& target) const;

  const Options options_;
  const ReportResult report_result_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<base::BackendId, std::shared_ptr<Target>> targets_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_LOAD_POLLER_H_
