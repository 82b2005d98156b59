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
#include "dandelionmill/gateway/request_terms.h"

namespace dandelionmill::gateway {

// The prompt parts that a backend server has probably cached, as far as this
// instance sent them. Least recently used parts are forgotten first. Pure.
class PromptMemory {
 public:
  // `capacity` is in tokens.
  explicit PromptMemory(base::Tokens capacity = 0) : capacity_(capacity) {}

  void SetCapacity(base::Tokens capacity) { capacity_ = capacity; }
  // The parts of a prompt have been read there.
  void Remember(const std::vector<PromptPart>& parts);
  void Clear();
  // Returns the tokens at the beginning of the prompt that are cached.
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

// What a request asks of a placement.
struct PlacementRequest {
  base::ZoneId zone;
  // Set for model engines.
  const ModelTerms* model = nullptr;
  // Backend servers that have been tried.
  std::set<base::BackendId> excluded;
  // Keeps the connection limits of the backend servers: connections that this
  // instance may have to one of them.
  int max_in_flight = 1 << 20;
  // Wait up to which the caller is served in time.
  std::chrono::milliseconds latency_objective{1000};
  // Bytes of the request and, as far as can be told, of its answer.
  std::size_t bytes = 0;
};

struct PlacementChoice {
  const BackendEntry* backend = nullptr;
  // Expected time until the request is answered or its first event comes.
  std::chrono::milliseconds expected_wait{0};
  // Prompt tokens that must be read, as far as is known.
  base::Tokens uncached_tokens = 0;
  // Where all instances would send requests with this prompt if nothing spoke
  // against it.
  bool is_home = false;

  // What the choice went by, for logs: requests there from this instance, and
  // how old the load is that the backend server reported; not set for never.
  int in_flight = 0;
  std::optional<std::chrono::milliseconds> load_age;
};

// How requests went at one backend server as seen from this instance.
enum class AttemptEnd {
  kAnswered,
  // It answered with a failure of its own.
  kFailed,
  // It said that it did not run the request.
  kRejected,
  // The connection broke, or no connection could be made.
  kBroken,
  // The caller left or a deadline passed; says nothing about it.
  kAbandoned,
};

// Decides which backend server gets a request: the one where it costs least.
// The cost weighs the risk of a late answer, given the requests that this
// instance has there and what the backend server last said about its load,
// against shared prompt parts that would be read again, the delay that reading
// means for others on a busy backend server, traffic between availability
// zones, and recent failures. Each shared prompt has a home, the backend server
// that ranks first by hash, so that instances agree on it without talking; one
// that is asked for often from another zone is copied there once the traffic
// has cost as much as reading it. Pure but for its random tie-breaking.
class Placement {
 public:
  explicit Placement(std::uint64_t seed, PlacementPolicy policy = ByCost())
      : policy_(policy), random_(seed) {}

  // Commands.
  // Tells the cache memory of the model engines of a service.
  void SetCacheTokens(const base::ServiceId& service, base::Tokens tokens);
  // A request was sent; `uncached_tokens` as in the choice.
  void OnSent(const BackendEntry& backend,
              const ModelTerms* model,
              base::Tokens uncached_tokens,
              base::MonoTime now);
  // The first event came, so the prompt has been read.
  void OnFirstEvent(const base::BackendId& backend,
                    base::Tokens uncached_tokens,
                    std::chrono::milliseconds waited,
                    std::chrono::milliseconds expected,
                    base::MonoTime now);
  void OnEnded(const base::BackendId& backend,
               AttemptEnd end,
               base::MonoTime now);
  // The prompt tokens of an ended request will not be read any more.
  void OnPromptDropped(const base::BackendId& backend,
                       base::Tokens uncached_tokens);
  void OnLoad(const base::BackendId& backend,
              const AnswerTerms::Load& load,
              base::MonoTime now);
  // Bytes came from the backend server.
  void OnAlive(const base::BackendId& backend, base::MonoTime now);
  // The backend server is gone.
  void Forget(const base::BackendId& backend);

  // Queries.
  // Returns nothing when no backend server may be used.
  std::optional<PlacementChoice> Choose(
      const std::vector<const BackendEntry*>& usable,
      const PlacementRequest& request,
      base::MonoTime now);
  int InFlight(const base::BackendId& backend) const;
  base::MonoTime LastAlive(const base::BackendId& backend) const;

 private:
  struct State {
    std::int64_t incarnation = 0;
    base::ServiceId service;
    int in_flight = 0;
    // Prompt tokens sent from here that have not been read yet.
    base::Tokens unread_tokens = 0;
    // Requests of others there, when it last told its load.
    int foreign_in_flight = 0;
    int foreign_waiting = 0;
    base::MonoTime load_at{};
    // Share of recent requests that failed, decaying.
    double failure_share = 0;
    base::MonoTime failure_at{};
    // Not used before.
    base::MonoTime avoid_until{};
    int failures_in_a_row = 0;
    // Waits over what is expected of any backend server, as a factor that
    // fades.
    double slowness = 1;
    base::MonoTime slowness_at{};
    base::MonoTime alive_at{};
    PromptMemory prompts;
  };

  // The part of a prompt that requests share, as the placement sees it.
  struct SharedPrompt {
    // The last shared part; empty when nothing is shared.
    std::string key;
    base::Tokens tokens = 0;
    const BackendEntry* home = nullptr;
  };

  State& StateOf(const BackendEntry& backend);
  double FailureShare(const State& state, base::MonoTime now) const;
  double Slowness(const State& state, base::MonoTime now) const;
  SharedPrompt FindShared(const std::vector<const BackendEntry*>& usable,
                          const PlacementRequest& request) const;
  double ExpectedWaitMs(const BackendEntry& backend,
                        const State& state,
                        const PlacementRequest& request,
                        base::Tokens uncached,
                        base::MonoTime now) const;
  // Returns the cost of reading the shared part again, in bytes between zones.
  double ReadAgainCost(const BackendEntry& backend,
                       const State& state,
                       const PlacementRequest& request,
                       const SharedPrompt& shared) const;
  // Returns what reading the prompt costs the requests that are there already:
  // nothing while answers come in time.
  static double DelayCost(const State& state,
                          base::Tokens uncached,
                          double late,
                          double objective_ms);
  // Returns the cost of a choice under `policy_`; `drawn` are the two that
  // OfTwo compares.
  double CostOf(const PlacementChoice& choice,
                const State& state,
                const PlacementRequest& request,
                const SharedPrompt& shared,
                double wait_ms,
                const std::array<const BackendEntry*, 2>& drawn,
                base::MonoTime now);
  void ChargeDistance(const PlacementChoice& choice,
                      const PlacementRequest& request,
                      const SharedPrompt& shared);

  const PlacementPolicy policy_;
  std::map<base::BackendId, State> states_;
  std::map<base::ServiceId, base::Tokens> cache_tokens_;
  // Bytes that went to the home of a shared prompt in another zone.
  std::unordered_map<std::string, double> distance_paid_;
  std::mt19937_64 random_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PLACEMENT_H_
