#ifndef SRC_DANDELIONMILL_GATEWAY_RELAY_SELECTOR_H_
#define SRC_DANDELIONMILL_GATEWAY_RELAY_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/peer/owner_ranking.h"
#include "dandelionmill/scheduling/home_regions.h"

namespace dandelionmill::gateway {

// Chooses the instance through which this one connects to backend servers while
// it cannot reach them itself. Prefers one in its own availability zone, then
// one in that of the backend server, so that few bytes cross zones. Pure except
// for random choice among equals, which spreads the load.
class RelaySelector {
 public:
  // How long an instance is not chosen again after it was unreachable, or for
  // the service to which it could not relay. It may be partitioned itself.
  static constexpr std::chrono::milliseconds kAvoidanceTime{2000};

  // What is known of the instances that are not chosen for a service.
  struct Avoided {
    std::size_t unreachable = 0;
    std::size_t refused = 0;
    // Age of the oldest failure among them; 0 if there is none.
    std::chrono::milliseconds oldest{0};
  };

  RelaySelector(base::ZoneId own_zone, std::uint64_t seed)
      : own_zone_(std::move(own_zone)), random_(seed) {}

  // Commands.
  void SetInstances(std::vector<peer::Instance> others);
  // The instance did not answer, whatever the service.
  void OnUnreachable(const base::InstanceId& instance, base::MonoTime now);
  // The instance answered that it cannot relay to the service now. It may have
  // lost this service and reach others.
  void OnRefused(const base::InstanceId& instance,
                 const base::ServiceId& service,
                 base::MonoTime now);

  // Queries.
  // Number of the other instances.
  std::size_t size() const { return others_.size(); }
  Avoided AvoidedFor(const base::ServiceId& service, base::MonoTime now) const;
  // Returns an instance in one of the `allowed` zones through which to connect
  // to a backend server of the service in `backend_zone`; nothing if none may
  // be chosen now. An instance that reports no zone is in no allowed zone
  // unless all are allowed.
  std::optional<peer::Instance> Choose(const base::ServiceId& service,
                                       const base::ZoneId& backend_zone,
                                       const scheduling::AllowedZones& allowed,
                                       base::MonoTime now);

 private:
  // Times of the last failures.
  using Failures = std::map<base::InstanceId, base::MonoTime>;

  static void Record(Failures& failures,
                     const base::InstanceId& instance,
                     base::MonoTime now);
  // Returns the age of the instance's failure, if it still counts.
  static std::optional<std::chrono::milliseconds> FailureAge(
      const Failures& failures,
      const base::InstanceId& instance,
      base::MonoTime now);
  int RankOf(const peer::Instance& instance,
             const base::ZoneId& backend_zone) const;

  const base::ZoneId own_zone_;
  std::vector<peer::Instance> others_;
  Failures unreachable_;
  std::map<base::ServiceId, Failures> refused_;
  std::mt19937_64 random_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_RELAY_SELECTOR_H_
