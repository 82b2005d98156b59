#ifndef SRC_DANDELIONMILL_GATEWAY_STREAM_VERSIONS_H_
#define SRC_DANDELIONMILL_GATEWAY_STREAM_VERSIONS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/service_versions.h"

namespace dandelionmill::gateway {

// Knows at which software version of the backend servers the streams of this
// instance began, since they may go on only there. Pure.
class StreamVersions {
 public:
  // Longest time from the first event of a stream to a resume of it: longer
  // than the time limits of callers.
  static constexpr std::chrono::seconds kMemory = ServiceVersions::kMemory;
  // Age from which the registry is not taken for current: more than the longest
  // time between two of its calls.
  static constexpr std::chrono::milliseconds kMaxRegistryAge{3000};

  // Time from the start of a backend server until its registry entry is that of
  // the new process.
  static constexpr std::chrono::milliseconds kMaxListingDelay{2000};

  // A stream that another instance may have to resume.
  struct Begun {
    base::AttemptId attempt;
    // Not set if it has turned out to be unknown.
    std::optional<std::string> version;
  };

  // The beginning of a stream at a backend server.
  struct Beginning {
    base::ServiceId service;
    base::BackendId backend;
    // Not set if unknown.
    std::optional<std::string> version;
    // When the connection that carries it was established.
    base::BootTime connected_at{};
    // Whether the backend server has reported the incarnation to which the
    // version belongs. Otherwise that is the listed one.
    bool is_reported = false;
  };

  // Commands.
  // The registry has been read as of `as_of`.
  void OnRegistryRead(base::BootTime as_of) { registry_as_of_ = as_of; }
  // The first event of a stream has arrived.
  void OnBegun(const base::AttemptId& attempt,
               Beginning beginning,
               base::MonoTime now);
  // A backend server has been restarted with another version. The registry was
  // read last as of `read_at` without a sign of that, so the version of streams
  // that began there on later connections is unknown.
  void OnVersionReplaced(const base::BackendId& backend,
                         base::BootTime read_at);
  // Returns up to `max` streams that were not returned before and need rows of
  // their own.
  std::vector<Begun> TakeUnshared(std::size_t max,
                                  const ServiceVersions& services);
  // Forgets what is older than kMemory.
  void Expire(base::MonoTime now);

  // Queries.
  // Whether the stream of this attempt began here.
  bool HasBegun(const base::AttemptId& attempt) const {
    return streams_.count(attempt) != 0;
  }
  // Returns the version at which the stream of this attempt began here; nothing
  // if it did not or the version is unknown, also because the registry has not
  // been read since.
  std::optional<std::string> VersionOf(const base::AttemptId& attempt,
                                       base::BootTime now) const;
  // Whether the registry has not been read for too long.
  bool IsRegistryOutdated(base::BootTime now) const {
    return now - registry_as_of_ > kMaxRegistryAge;
  }
  // Whether the registry lists the process to which a connection was opened at
  // `connected_at`, and not an earlier one at the same address.
  bool IsListedSince(base::BootTime connected_at) const {
    return registry_as_of_ >= connected_at + kMaxListingDelay;
  }

 private:
  struct Stream {
    Beginning beginning;
    base::MonoTime begun_at;
    bool is_shared = false;
  };

  base::BootTime registry_as_of_{};
  std::map<base::AttemptId, Stream> streams_;
  // The keys of `streams_` by the time of their beginning.
  std::deque<base::AttemptId> order_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_STREAM_VERSIONS_H_
