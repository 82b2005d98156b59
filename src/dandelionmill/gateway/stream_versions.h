#ifndef SRC_DANDELIONMILL_GATEWAY_STREAM_VERSIONS_H_
#define SRC_DANDELIONMILL_GATEWAY_STREAM_VERSIONS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Knows at which software version of the backend servers a stream began, since
// it may go on only there. While a service has one version, that is the one;
// otherwise it is known of the streams that began at this instance. Pure.
class StreamVersions {
 public:
  // Longest time from the first event of a stream to a resume of it: longer
  // than the time limits of callers.
  static constexpr std::chrono::seconds kMemory{30};
  // Longest time between two observations of the registry without which another
  // version may have been listed unseen.
  static constexpr std::chrono::milliseconds kMaxListAge{2500};

  // A stream that another instance may have to resume.
  struct Begun {
    base::AttemptId attempt;
    std::string version;
  };

  // Commands.
  // The registry lists backend servers of these versions for the service.
  void OnListed(const base::ServiceId& service,
                const std::set<std::string>& versions,
                base::MonoTime now);
  // The first event of a stream has arrived.
  void OnBegun(const base::AttemptId& attempt,
               const base::ServiceId& service,
               const std::string& version,
               base::MonoTime now);
  // Returns up to `max` streams that were not returned before and of whose
  // service OnlyVersion is not known.
  std::vector<Begun> TakeUnshared(std::size_t max, base::MonoTime now);
  // Forgets what is older than kMemory.
  void Expire(base::MonoTime now);

  // Queries.
  // Returns the version at which the stream of this attempt began here.
  std::optional<std::string> VersionOf(const base::AttemptId& attempt) const;
  // Returns the version if every stream of the service that can still be
  // resumed began at it; nothing if that is not known.
  std::optional<std::string> OnlyVersion(const base::ServiceId& service,
                                         base::MonoTime now) const;
  // Returns the version if it is the only one that was listed, no matter for
  // how long.
  std::optional<std::string> OnlyListedVersion(const base::ServiceId& service,
                                               base::MonoTime now) const;
  // Services with more than one version within kMemory.
  std::vector<base::ServiceId> MixedServices() const;

 private:
  struct Observed {
    base::MonoTime since;
    base::MonoTime last_observed;
    // When each version was last listed.
    std::map<std::string, base::MonoTime> last_listed;
  };
  struct Stream {
    base::ServiceId service;
    std::string version;
    base::MonoTime begun_at;
    bool is_shared = false;
  };

  std::map<base::ServiceId, Observed> services_;
  std::map<base::AttemptId, Stream> streams_;
  // The keys of `streams_` by the time of their beginning.
  std::deque<base::AttemptId> order_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_STREAM_VERSIONS_H_
