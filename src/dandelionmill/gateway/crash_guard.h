#ifndef SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_
#define SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Finds the requests that crash each backend server that runs them. A broken
// attempt counts as a crash once the backend server refuses connections. A
// request that was running in crashes of two backend servers is refused from
// then on. Instances share what they saw as rows. Pure.
class CrashGuard {
 public:
  // Crashes of distinct backend servers after which a request is refused.
  static constexpr std::size_t kMaxCrashes = 2;
  // How far apart a broken attempt and the sign of a crash may be.
  static constexpr std::chrono::milliseconds kSameCrash{600};
  // How long a crash is remembered.
  static constexpr std::chrono::minutes kMemory{10};

  // What other instances must hear: `digest` ran when `backend` crashed.
  struct Report {
    std::string digest;
    base::BackendId backend;
  };

  // Commands.
  // An attempt broke off without an answer. `digest` names the request: its
  // account, path and body.
  void OnBroken(const std::string& digest,
                const base::BackendId& backend,
                base::MonoTime now);
  // A connection attempt to the backend server was refused.
  void OnRefused(const base::BackendId& backend, base::MonoTime now);
  // The request ran to its end, so it is not what crashes backend servers.
  void OnCompleted(const std::string& digest);
  // Takes over what another instance saw.
  void Learn(const Report& report, base::MonoTime now);
  // Returns and forgets the reports that other instances must hear of.
  std::vector<Report> TakeReports();
  void Expire(base::MonoTime now);

  // Queries.
  bool IsQuarantined(const std::string& digest) const;
  std::size_t suspects() const { return records_.size(); }

 private:
  struct Broken {
    std::string digest;
    base::BackendId backend;
    base::MonoTime at;
  };
  struct Record {
    std::set<base::BackendId> crashed;
    base::MonoTime until;
  };

  std::deque<Broken> broken_;
  std::map<std::string, Record> records_;
  std::vector<Report> reports_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CRASH_GUARD_H_
