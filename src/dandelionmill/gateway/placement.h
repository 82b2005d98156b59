#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/placement_cost.h"
#include "dandelionmill/gateway/placement_policy.h"
#include "dandelionmill/gateway/placement_request.h"
#include "dandelionmill/gateway/placement_state.h"
#include "dandelionmill/gateway/request_metadata.h"
#include "dandelionmill/scheduling/load_estimate.h"
#include "dandelionmill/scheduling/peer_loads.h"

namespace dandelionmill::gateway {

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
  explicit Placement(std::uint64_t seed, PlacementPolicy policy = ByCost());
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

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
  // A load report could not be read. Returns whether to log it: at most one in
  // 10 s for each backend server.
  bool OnMalformedLoad(const BackendEntry& backend, base::MonoTime now);
  // Bytes arrived from the backend server.
  void OnBytesReceived(const base::BackendId& backend, base::MonoTime now);
  // What the other instances have in progress has changed.
  void OnPeerLoads(const std::vector<scheduling::PeerLoads::Change>& changes);
  // Sets whether most other instances report what they have in progress, which
  // then replaces the estimate from reports of backend servers.
  void SetKnowsPeers(bool knows_peers) { knows_peers_ = knows_peers; }
  // The backend server was removed. Does nothing while it has requests in
  // flight.
  void Remove(const base::BackendId& backend);

  // Queries.
  // Returns nullopt if no backend server may be used.
  std::optional<PlacementChoice> Choose(
      const std::vector<const BackendEntry*>& usable,
      const PlacementRequest& request,
      base::MonoTime now);
  // What this instance has in progress at each backend server that has sent
  // a load report with a work time.
  std::vector<scheduling::InstanceLoad> OwnLoads() const;
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
  PlacementState& StateOf(const BackendEntry& backend);
  // Returns nullptr if another start of the backend server has been listed
  // since the entry, of which what is observed says nothing.
  PlacementState* FindState(const BackendEntry& backend);
  std::vector<PlacementCandidate> ListCandidates(
      const std::vector<const BackendEntry*>& usable);
  // Sets the load and the uncached tokens of `candidate`.
  void Estimate(const PlacementRequest& request,
                const SharedPrompt& shared,
                base::MonoTime now,
                PlacementCandidate& candidate) const;
  SharedPrompt FindSharedPrompt(
      const std::vector<PlacementCandidate>& candidates,
      const PlacementRequest& request) const;
  // Whether the request stays with the home of its shared prompt or a copy,
  // since the expected wait at the home is short enough.
  bool KeepsHome(std::vector<PlacementCandidate>& candidates,
                 const PlacementRequest& request,
                 const SharedPrompt& shared,
                 base::MonoTime now) const;
  // Returns the cost of a choice under `policy_`. `drawn` are the two backend
  // servers that TwoChoices compares.
  double ComputeCost(const PlacementCandidate& candidate,
                     const PlacementRequest& request,
                     const SharedPrompt& shared,
                     double wait_ms,
                     const std::array<const BackendEntry*, 2>& drawn,
                     base::MonoTime now);
  struct Evaluation {
    const PlacementCandidate* candidate = nullptr;
    double wait_ms = 0;
    double cost = 0;
  };
  // Returns the cheaper of two random ones among those that cost little more
  // than `best`.
  Evaluation DrawAmongBest(const std::vector<Evaluation>& evaluations,
                           const Evaluation& best);
  PlacementChoice MakeChoice(const Evaluation& best,
                             const SharedPrompt& shared,
                             base::MonoTime now) const;
  // Adds the traffic to a home in another zone, or clears it once the prompt
  // has a copy in this zone.
  void RecordCrossZoneTraffic(const PlacementChoice& choice,
                              const PlacementRequest& request,
                              const SharedPrompt& shared);

  const PlacementPolicy policy_;
  // Of `policy_`; the default for policies without.
  const LoadReportUse report_use_;
  bool knows_peers_ = false;
  std::unordered_map<base::BackendId, PlacementState> states_;
  std::map<base::ServiceId, base::Tokens> cache_tokens_;
  std::map<base::ServiceId, scheduling::FleetLoad> fleet_loads_;
  // Bytes exchanged with other zones for each shared prompt.
  std::unordered_map<std::string, double> cross_zone_bytes_;
  std::mt19937_64 random_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PLACEMENT_H_
