#ifndef SRC_DANDELIONMILL_GATEWAY_REQUEST_LIMITS_H_
#define SRC_DANDELIONMILL_GATEWAY_REQUEST_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/backend_process.h"

namespace dandelionmill::gateway {

// Keeps the fleet within the request rates that backend servers name. The
// limit applies to all instances together: a few of them, chosen by rendezvous
// hashing, share its rate in equal parts, and the others send nothing. So the
// instances need not communicate for each request, and the sum of their bursts
// stays small in a large fleet. Pure.
class RequestLimits {
 public:
  // Limits below this count as this, so that the end of a limit is noticed.
  static constexpr double kMinRequestsPerS = 0.1;
  // How long a limit holds for an entry that may be that of the process: no
  // response shows meanwhile to an instance without a share that it does not.
  static constexpr std::chrono::milliseconds kMaxUnprovenTime{5000};
  // Relative change of a limit above which the other instances are informed.
  static constexpr double kMinReportedChange = 0.1;

  // What a response says about the limit of its backend server.
  struct Observation {
    base::BackendId backend;
    // The process that responded. Of an observation of another instance, only
    // its incarnation is known.
    BackendProcess process;
    // Requests per second; not set if it names none.
    std::optional<double> requests_per_s;
  };

  // Commands.
  void SetInstances(const base::InstanceId& self,
                    const std::vector<base::InstanceId>& others);
  // A response to a request that was sent at `sent_at` has arrived. Returns
  // whether the limit has changed.
  bool OnResponse(const Observation& observation,
                  base::MonoTime sent_at,
                  base::MonoTime now);
  // Another instance has observed this. Returns whether the limit has changed.
  bool MergeObservation(const Observation& observation, base::MonoTime now);
  // A request is sent to the backend server.
  void OnSent(const base::BackendId& backend, base::MonoTime now);
  // The backend server was removed.
  void Remove(const base::BackendId& backend) { limits_.erase(backend); }
  // Returns what the other instances do not know, and clears it.
  std::vector<Observation> TakeObservations();

  // Queries.
  bool empty() const { return limits_.empty(); }
  // Whether a request may be sent to the backend server now.
  bool Admits(const BackendEntry& backend, base::MonoTime now) const;
  // Returns the time until this instance may send the next request; nothing if
  // it has no share of the limit.
  std::optional<std::chrono::milliseconds> TimeUntilAdmitted(
      const BackendEntry& backend,
      base::MonoTime now) const;
  // Returns the limit in force, in requests per second.
  std::optional<double> LimitOf(const base::BackendId& backend) const;

 private:
  // This instance's share of a limit.
  struct Share {
    // Position among the instances that share the limit, from 0.
    std::size_t rank = 0;
    std::size_t instances = 1;
  };
  struct Limit {
    BackendProcess process;
    double requests_per_s = 0;
    // Not set if this instance does not share the limit.
    std::optional<Share> share;
    // When a response of the backend server last named it.
    base::MonoTime named_at{};
    // This instance sends its next request at this time at the earliest.
    base::MonoTime next_at{};
    // Limit that the other instances know.
    std::optional<double> reported;
  };

  // Returns the limit of the listed process; nullptr if it has none.
  const Limit* Find(const BackendEntry& backend, base::MonoTime now) const;
  // Returns nothing if this instance does not share the limit.
  std::optional<Share> ShareOf(const base::BackendId& backend,
                               double requests_per_s) const;
  // Returns whether the limit has changed.
  bool Apply(const Observation& observation, base::MonoTime now);

  base::InstanceId self_;
  std::vector<base::InstanceId> others_;
  std::map<base::BackendId, Limit> limits_;
  std::vector<Observation> observations_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_REQUEST_LIMITS_H_
