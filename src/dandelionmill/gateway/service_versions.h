#ifndef SRC_DANDELIONMILL_GATEWAY_SERVICE_VERSIONS_H_
#define SRC_DANDELIONMILL_GATEWAY_SERVICE_VERSIONS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// A software version of the backend servers of a service.
struct ServiceVersion {
  base::ServiceId service;
  std::string version;

  bool operator<(const ServiceVersion& other) const {
    return std::tie(service, version) < std::tie(other.service, other.version);
  }
};

// A row of the store that says that a service has, or had of late, backend
// servers of a version.
struct ServiceVersionRow {
  ServiceVersion name;
  // Era of the store in which it was written; not set if unknown.
  std::optional<std::uint64_t> era;
};

// The software versions of the services: which the registry lists, and which
// the store has a record of. A stream that may be resumed begins only at a
// recorded version, so that whoever reads the records afterwards finds the
// version among them, however old its own list is. Pure.
class ServiceVersions {
 public:
  // How long a version counts as one of the service after it was last listed:
  // longer than a stream can be resumed.
  static constexpr std::chrono::seconds kMemory{30};
  // Time since a version was last listed after which its record is deleted.
  static constexpr std::chrono::seconds kRetention{60};
  // Time between two readings of the registry above which versions may have
  // been listed unseen.
  static constexpr std::chrono::seconds kMaxReadingGap{10};

  // What the records of a service show of the streams that have begun.
  // All have begun at this version.
  struct Only {
    std::string version;
  };
  // They may have begun at different versions.
  struct Several {};
  // Records are missing, or may be since the store was restored from a copy.
  struct Incomplete {};
  using Judgement = std::variant<Only, Several, Incomplete>;

  explicit ServiceVersions(base::MonoTime started_at)
      : renewable_at_(started_at + kMemory) {}

  // Commands.
  // The registry lists backend servers of these versions for the service.
  void OnListed(const base::ServiceId& service,
                const std::set<std::string>& versions,
                base::MonoTime now);
  // All records have been read from the store, in this era.
  void OnRead(const std::vector<ServiceVersionRow>& rows,
              std::optional<std::uint64_t> era,
              base::MonoTime now);
  // Rows have been written in this era of the store. `sent_in` is the era that
  // was known when the write was sent.
  void OnRecorded(const std::vector<ServiceVersionRow>& rows,
                  std::optional<std::uint64_t> sent_in,
                  std::optional<std::uint64_t> era,
                  base::MonoTime now);
  // The store was restored from an older copy, which may lack late records.
  void OnStoreRestored(std::uint64_t era, base::MonoTime now);

  // Queries.
  // The newest known era of the store.
  std::optional<std::uint64_t> era() const { return era_; }
  // Whether streams that may be resumed can begin at the version.
  bool IsRecorded(const base::ServiceId& service,
                  const std::string& version) const;
  // Returns the rows that have to be written. A row names the era only if all
  // streams that can still be taken up began when the store had the rows of
  // this service.
  std::vector<ServiceVersionRow> Unrecorded(base::MonoTime now) const;
  // Whether the records do not show for each stream of the service at which
  // version it began, so that each needs a row of its own.
  bool NeedsStreamRows(const base::ServiceId& service) const;
  // Whether the service has, or had of late, several versions.
  bool IsMixed(const base::ServiceId& service) const;
  std::vector<base::ServiceId> MixedServices() const;
  // Returns the recorded versions that are no longer listed, while others of
  // their services are.
  std::vector<ServiceVersion> Expired(base::MonoTime now) const;
  // Determines what `rows`, read in `era` after a stream of the service began,
  // show of its version.
  Judgement Judge(const base::ServiceId& service,
                  const std::vector<ServiceVersionRow>& rows,
                  std::optional<std::uint64_t> era,
                  base::MonoTime now) const;

 private:
  struct State {
    // Not set if it is known from the store only.
    std::optional<base::MonoTime> last_listed;
    base::MonoTime first_known{};
    bool is_recorded = false;
    // Others may be deleting its row, so that it has to be written even if it
    // is read.
    bool is_relisted = false;
    base::MonoTime recorded_at{};
    std::optional<std::uint64_t> era;
  };

  // Returns false if a response of this era is outdated. Notes a later era.
  bool AcceptsEra(std::optional<std::uint64_t> era, base::MonoTime now);
  static bool IsListed(const State& state, base::MonoTime now) {
    return state.last_listed && now - *state.last_listed <= kMemory;
  }
  static bool IsExpired(const State& state, base::MonoTime now) {
    return now - state.last_listed.value_or(state.first_known) > kRetention;
  }

  std::map<base::ServiceId, std::map<std::string, State>> services_;
  // Services of which the registry has listed versions.
  std::set<base::ServiceId> listed_services_;
  std::optional<base::MonoTime> last_reading_;
  std::optional<std::uint64_t> era_;
  // From when on rows that this process writes may name the era: no stream that
  // can still be taken up began before the era did.
  base::MonoTime renewable_at_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_SERVICE_VERSIONS_H_
