#ifndef SRC_DANDELIONMILL_GATEWAY_PLACEMENT_STATE_H_
#define SRC_DANDELIONMILL_GATEWAY_PLACEMENT_STATE_H_

#include <chrono>
#include <cstdint>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/prompt_cache_estimate.h"
#include "dandelionmill/gateway/request_metadata.h"
#include "dandelionmill/scheduling/load_estimate.h"
#include "dandelionmill/scheduling/peer_loads.h"

namespace dandelionmill::gateway {

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

// What this instance has observed of a backend server. Pure.
struct PlacementState {
  std::int64_t incarnation = 0;
  // Hash of the id, for the home of shared prompts.
  std::uint64_t id_hash = 0;
  base::ServiceId service;
  base::ZoneId zone;
  int in_flight = 0;
  // Uncached prompt tokens sent by this instance whose prefill is not
  // complete.
  base::Tokens pending_prefill_tokens = 0;
  // The same of the other instances, as they reported it.
  scheduling::InstanceLoad peers;
  // Requests of other instances, and waiting requests, as of the last load
  // report.
  int other_in_flight = 0;
  int reported_waiting = 0;
  base::MonoTime load_reported_at{};
  int sent_since_report = 0;
  base::MonoTime malformed_load_logged_at{};
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
  // By the reports that have a work time; these do not change the fields above.
  scheduling::LoadEstimate load_estimate;
  // Of the service, owned by Placement; set with `service`.
  scheduling::FleetLoad* fleet_load = nullptr;
  PromptCacheEstimate cached_prompts;

  // Commands.
  // An attempt ended.
  void OnEnded(AttemptEnd end, base::MonoTime now);
  // The first event arrived `waited` after the request was sent.
  void OnFirstEvent(std::chrono::milliseconds waited,
                    std::chrono::milliseconds expected,
                    base::MonoTime now);
  void OnLoad(const ResponseMetadata::Load& load,
              const scheduling::LoadEstimateOptions& options,
              base::MonoTime now);
  // Returns whether to log the malformed report.
  bool OnMalformedLoad(base::MonoTime now);

  // Queries.
  double FailureShare(base::MonoTime now) const;
  double Slowness(base::MonoTime now) const;
  // Weight of the last load report, from 0 to 1.
  double LoadFreshness(base::MonoTime now) const;
  BackendLoad Load(base::MonoTime now) const;
  // Whether the load is estimated from reports that have a work time: of this
  // backend server, or while it has sent none, of others of the service.
  bool HasEstimate() const {
    return load_estimate.has_report() ||
           (load_reported_at == base::MonoTime() && fleet_load != nullptr &&
            fleet_load->has_report());
  }
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_PLACEMENT_STATE_H_
