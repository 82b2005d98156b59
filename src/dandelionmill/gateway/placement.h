#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/placement_policy.h"
#include "dandelionmill/gateway/request_metadata.h"

namespace dandelionmill::gateway {

// Estimates which prompt parts a backend server has cached, from the requests
// that this instance sent to it. Evicts the least recently used parts. Pure.
class PromptCacheEstimate {
 public:
  // `capacity` is in tokens.
  explicit PromptCacheEstimate(base::Tokens capacity = 0)
      : capacity_(capacity) {}

  void SetCapacity(base::Tokens capacity) { capacity_ = capacity; }
  // The backend server has received a prompt with these parts.
  void Add(const std::vector<PromptPart>& parts);
  void Clear();
  // Returns the number of leading prompt tokens that are cached.
  base::Tokens CachedTokens(const std::vector<PromptPart>& parts) const;

 private:
  struct Entry {
    std::string id;
    base::Tokens tokens;
  };

  base::Tokens capacity_;
  base::Tokens used_ = 0;
  // Most recently used first.
  std::list<Entry> entries_;
  std::unordered_map<std::string, std::list<Entry>::iterator> by_id_;
};

// The properties of a request that placement depends on.
struct PlacementRequest {
  base::ZoneId zone;
  // Set for model engines.
  const ModelRequest* model = nullptr;
  // Backend servers that must not be chosen, since they have been tried.
  std::set<base::BackendId> excluded;
  // Largest number of requests from this instance to one backend server, so
  // that its connection limit is kept.
  int max_in_flight = 1 << 20;
  // Longest wait for which the response counts as on time.
  std::chrono::milliseconds latency_objective{1000};
  // Bytes of the request plus the estimated bytes of its response.
  std::size_t bytes = 0;
};

struct PlacementChoice {
  const BackendEntry* backend = nullptr;
  // Expected time to the response or to the first event of a stream.
  std::chrono::milliseconds expected_wait{0};
  // Estimated prompt tokens that are not cached and need prefill.
  base::Tokens uncached_tokens = 0;
  // Whether `backend` is the home of the shared prompt, which all instances
  // prefer.
  bool is_home = false;

  // Inputs of the decision, for logs: requests in flight from this instance,
  // and the age of the load report; not set if there has been no report.
  int in_flight = 0;
  std::optional<std::chrono::milliseconds> load_age;
};

// How an attempt at a backend server ended, as seen by this instance.
enum class AttemptEnd {
  kAnswered,
  // It responded with an error of its own.
  kFailed,
  // It reported that it did not run the request.
  kRejected,
  // The connection failed or could not be opened.
  kBroken,
  // The caller disconnected, a deadline passed or this instance shuts down;
  // does not count against the backend server.
  kAbandoned,
};

// Chooses the backend server with the lowest estimated cost for a request. The
// cost combines the risk of a late response (from the requests in flight of
// this instance and the last load report), prefill of shared prompt parts that
// are not cached, the delay that prefill causes for other requests on a busy
// backend server, traffic between availability zones, and recent failures. Each
// shared prompt has a home, chosen by rendezvous hashing, so that instances
// agree on it without communication. A prompt that is often requested from
// another zone is copied to that zone once the traffic has cost as much as the
// prefill. Pure except for random tie-breaking.
class Placement {
 public:
  explicit Placement(std::uint64_t seed, PlacementPolicy policy = ByCost())
      : policy_(policy), random_(seed) {}

  // Commands.
  // Sets the size of the KV cache of a service's model engines, in tokens.
  void SetCacheTokens(const base::ServiceId& service, base::Tokens tokens);
  // A request was sent; `uncached_tokens` as in PlacementChoice.
  void OnSent(const BackendEntry& backend,
              const ModelRequest* model,
              base::Tokens uncached_tokens,
              base::MonoTime now);
  // The first event arrived, so prefill is complete. `waited` is the time since
  // the request was sent, `expected` that of PlacementChoice.
  void OnFirstEvent(const BackendEntry& backend,
                    base::Tokens uncached_tokens,
                    std::chrono::milliseconds waited,
                    std::chrono::milliseconds expected,
                    base::MonoTime now);
  // An attempt ended. Call once for each OnSent. `backend` as in OnSent.
  void OnEnded(const BackendEntry& backend, AttemptEnd end, base::MonoTime now);
  // An attempt ended before its first event, so its prefill is no longer
  // pending.
  void OnPromptDropped(const base::BackendId& backend,
                       base::Tokens uncached_tokens);
  // The backend server reported its load.
  void OnLoad(const BackendEntry& backend,
              const ResponseMetadata::Load& load,
              base::MonoTime now);
  // Bytes arrived from the backend server.
  void OnBytesReceived(const base::BackendId& backend, base::MonoTime now);
  // The backend server was removed. Does nothing while it has requests in
  // flight.
  void Remove(const base::BackendId& backend);

  // Queries.
  // Returns nullopt if no backend server may be used.
  std::optional<PlacementChoice> Choose(
      const std::vector<const BackendEntry*>& usable,
      const PlacementRequest& request,
      base::MonoTime now);
  // Requests in flight from this instance.
  int InFlight(const base::BackendId& backend) const;
  BackendLoad LoadOf(const base::BackendId& backend, base::MonoTime now) const;
  // Requests in flight from this instance to any backend server of the service.
  int InFlightAt(const base::ServiceId& service) const;
  // The same for the backend servers of an availability zone, of all services.
  int InFlightIn(const base::ZoneId& zone) const;
  // When bytes last arrived; the epoch if never.
  base::MonoTime LastReceivedAt(const base::BackendId& backend) const;

 private:
  struct State {
    std::int64_t incarnation = 0;
    // Hash of the id, for the home of shared prompts.
    std::uint64_t id_hash = 0;
    base::ServiceId service;
    base::ZoneId zone;
    int in_flight = 0;
    // Uncached prompt tokens sent by this instance whose prefill is not
    // complete.
    base::Tokens pending_prefill_tokens = 0;
    // Requests of other instances, and waiting requests, as of the last load
    // report.
    int other_in_flight = 0;
    int reported_waiting = 0;
    base::MonoTime load_reported_at{};
    int sent_since_report = 0;
    // Share of recent requests that failed, as an exponential moving average.
    double failure_share = 0;
    base::MonoTime failure_updated_at{};
    // Not used before this time unless there is no alternative.
    base::MonoTime ejected_until{};
    int consecutive_failures = 0;
    // Ratio of actual to expected waits; decays to 1.
    double slowness = 1;
    base::MonoTime slowness_updated_at{};
    base::MonoTime last_received_at{};
    PromptCacheEstimate cached_prompts;
  };

  // The parts of a prompt that requests share: all except the last.
  struct SharedPrompt {
    // Id of the last shared part; empty if nothing is shared.
    std::string key;
    base::Tokens tokens = 0;
    const BackendEntry* home = nullptr;
  };

  struct Candidate {
    const BackendEntry* backend;
    State* state;
  };

  State& StateOf(const BackendEntry& backend);
  // Returns nullptr if another start of the backend server has been listed
  // since the entry, of which what is observed says nothing.
  State* FindState(const BackendEntry& backend);
  double FailureShare(const State& state, base::MonoTime now) const;
  double Slowness(const State& state, base::MonoTime now) const;
  static SharedPrompt FindSharedPrompt(const std::vector<Candidate>& candidates,
                                       const PlacementRequest& request);
  double ExpectedWaitMs(const BackendEntry& backend,
                        const State& state,
                        const PlacementRequest& request,
                        base::Tokens uncached,
                        base::MonoTime now) const;
  // Returns the prefill cost of the shared parts that are not cached, in bytes
  // between zones.
  double PrefillCost(const BackendEntry& backend,
                     const State& state,
                     const PlacementRequest& request,
                     const SharedPrompt& shared) const;
  // Returns the cost of the delay that prefill causes for requests in flight;
  // 0 while responses are on time.
  static double PrefillDelayCost(const State& state,
                                 base::Tokens uncached,
                                 double late_risk,
                                 double objective_ms);
  // Returns the cost of a choice under `policy_`. `drawn` are the two backend
  // servers that TwoChoices compares.
  double ComputeCost(const PlacementChoice& choice,
                     const State& state,
                     const PlacementRequest& request,
                     const SharedPrompt& shared,
                     double wait_ms,
                     const std::array<const BackendEntry*, 2>& drawn,
                     base::MonoTime now);
  // Adds the traffic to a home in another zone, or clears it once the prompt
  // has a copy in this zone.
  void RecordCrossZoneTraffic(const PlacementChoice& choice,
                              const PlacementRequest& request,
                              const SharedPrompt& shared);

  const PlacementPolicy policy_;
  std::unordered_map<base::BackendId, State> states_;
  std::map<base::ServiceId, base::Tokens> cache_tokens_;
  // Bytes exchanged with other zones for each shared prompt.
  std::unordered_map<std::string, double> cross_zone_bytes_;
  std::mt19937_64 random_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PLACEMENT_H_
