#ifndef SRC_DANDELIONMILL_SCHEDULING_COLD_ALLOWANCE_H_
#define SRC_DANDELIONMILL_SCHEDULING_COLD_ALLOWANCE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/ids.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/scheduling/allowance_share.h"

namespace dandelionmill::scheduling {

// Keeps the requests that the whole fleet sends to a cold backend server within
// the rate that the server can take until it has warmed up.
//
// Which server is cold: entries and responses report it. A process that this
// instance has not observed may be cold as well, so the first request on a
// connection that may lead to such a process waits for a health check. A
// connection never outlives the process that accepted it, so a connection to a
// process that was observed needs no further check.
//
// Who may send: the first instances in the rendezvous order of the server, each
// at fixed intervals. The rate is divided so that two sets of instances which
// know nothing of each other are within the bound together. Pure.
class ColdAllowance {
 public:
  // What a service says about its cold servers.
  struct Terms {
    // Requests per second that a cold server can take from the whole fleet.
    double requests_per_s = 0;
    // How long a server stays cold after its start; 0 if it never is.
    std::chrono::milliseconds cold_start{0};
  };
  // At most requests_per_s * overshoot + slack requests may arrive in one
  // second.
  struct Bounds {
    double overshoot = 1.5;
    double slack = 5;
  };
  enum class State { kPossiblyCold, kCold, kWarm };
  enum class Source {
    kEntry,
    kResponse,
    kHealthCheck,
    kUnanswered,
    kConnectionLost,
    kEvacuation,
    kTime,
  };
  // A change of the state of a backend server, for logs.
  struct Change {
    base::BackendId backend;
    State state = State::kWarm;
    Source source = Source::kTime;
    std::chrono::milliseconds remaining{0};
    // Share of this instance in requests per second; 0 if it has none.
    double requests_per_s = 0;
    // Instances that share the allowance, and instances known.
    std::size_t sharing = 0;
    std::size_t known = 0;
  };
  // What a health check on a connection has shown.
  struct CheckResult {
    bool is_answered = false;
    // Not set if the answer does not name it: the server is warm.
    std::optional<std::chrono::milliseconds> remaining;
    // When the check was sent.
    base::BootTime sent_at{};
  };

  // A process that was observed so recently is the one that accepts a new
  // connection, unless a connection to it has ended. Saves a check for most
  // connections that are opened under load.
  static constexpr std::chrono::milliseconds kMinRestartTime{200};
  // An instance has no share until it has read the list of instances twice and
  // this long: others that start with it have written their heartbeats by then.
  static constexpr std::chrono::milliseconds kSettleTime{5000};
  // An instance that could not read the list for this long has no share, as
  // the fleet may have been replaced more than once. Longer than the partitions
  // between an instance and the store that users reported.
  static constexpr std::chrono::milliseconds kMaxViewAge{30000};
  // After the end of the cold state the allowance doubles in each step, and
  // ends after the last.
  static constexpr std::chrono::milliseconds kGrowthStep{250};
  static constexpr std::size_t kGrowthSteps = 4;
  // Intervals are longer than the rate demands by this factor, since the time
  // that requests take to arrive varies by some 50 ms.
  static constexpr double kIntervalMargin = 1.05;
  // Longer remaining times count as this, so that a wrong one does not take a
  // server out of use for good.
  static constexpr std::chrono::minutes kMaxRemaining{10};

  // Commands.
  void SetBounds(const Bounds& bounds);
  // Sets the terms of the services whose servers may be cold.
  void SetServices(std::map<base::ServiceId, Terms> services);
  // The list of the instances that are running was read.
  void SetInstances(const base::InstanceId& self,
                    std::vector<base::InstanceId> others,
                    base::BootTime now);
  // An entry was read, which may be an old one or one that was read before.
  void OnEntry(const gateway::BackendEntry& entry, base::BootTime now);
  // A response to a request that was sent at `sent_at` has arrived on a
  // connection that was opened at `opened_at`. `remaining` is what it says of
  // the cold state, if it says anything.
  void OnResponse(const gateway::BackendEntry& backend,
                  std::optional<std::chrono::milliseconds> remaining,
                  base::BootTime opened_at,
                  base::BootTime sent_at,
                  base::BootTime now);
  // A health check for which NeedsCheck asked has ended.
  void OnChecked(const gateway::BackendEntry& backend,
                 const CheckResult& result,
                 base::BootTime now);
  // The process of the backend server may have been replaced without notice: a
  // connection was broken or refused, or the server was not used for a while.
  void OnUnobserved(const base::BackendId& backend,
                    Source source,
                    base::BootTime now);
  // The backend server was chosen for a request; others wait.
  void Reserve(const gateway::BackendEntry& backend, base::BootTime now);
  // Call just before a request is sent. Returns whether it may be.
  bool TrySend(const gateway::BackendEntry& backend, base::BootTime now);
  // The backend server was removed.
  void Remove(const base::BackendId& backend) { members_.erase(backend); }
  // Removes all backend servers for which `is_listed` is false.
  void RemoveUnless(
      const std::function<bool(const base::BackendId&)>& is_listed);
  // Notes which servers have become warm by now. Returns the changes since the
  // last call.
  std::vector<Change> TakeChanges(base::BootTime now);

  // Queries.
  // Whether no service has cold servers.
  bool empty() const { return services_.empty(); }
  // Whether the first request on a connection that was opened at `opened_at`
  // has to wait for a health check on it.
  bool NeedsCheck(const gateway::BackendEntry& backend,
                  base::BootTime opened_at,
                  base::BootTime now) const;
  // Whether a request may be sent to the backend server now.
  bool Admits(const gateway::BackendEntry& backend, base::BootTime now) const {
    return empty() || TimeUntilAdmitted(backend, now).count() == 0;
  }
  // Returns the time until this instance may send a request.
  std::chrono::milliseconds TimeUntilAdmitted(
      const gateway::BackendEntry& backend,
      base::BootTime now) const;
  // Number of backend servers whose requests are limited.
  std::size_t LimitedCount(base::BootTime now) const;

 private:
  // What the last entry said.
  struct Entry {
    std::int64_t incarnation = 0;
    std::uint64_t change_count = 0;
    std::chrono::milliseconds remaining{0};
  };
  struct Member {
    base::ServiceId service;
    std::optional<Entry> entry;
    // The process that accepts connections has been observed up to this time;
    // not set if it may be an unknown one.
    std::optional<base::BootTime> observed_until;
    // Set while requests are limited: when the cold state ends.
    std::optional<base::BootTime> cold_until;
    Source source = Source::kTime;
    // Position of this instance in the rendezvous order.
    std::size_t rank = 0;
    base::BootTime last_sent_at{};
    // Others wait for a request that was chosen, or for instances with a lower
    // rank, until then.
    base::BootTime reserved_until{};
  };
  using Divisions = std::array<Division, kGrowthSteps + 1>;

  const Terms* FindTerms(const base::ServiceId& service) const;
  Member& MemberOf(const gateway::BackendEntry& backend);
  void SetCold(const base::BackendId& id,
               Member& member,
               std::chrono::milliseconds remaining,
               Source source,
               base::BootTime now);
  // The server has been observed to be warm.
  void SetWarm(const base::BackendId& id,
               Member& member,
               Source source,
               base::BootTime now);
  void AddChange(const base::BackendId& id,
                 const Member& member,
                 State state,
                 Source source,
                 base::BootTime now);
  // Returns the step of growth, 0 while cold, kGrowthSteps + 1 if there is no
  // limit.
  static std::size_t StepOf(const Member& member, base::BootTime now);
  bool IsCold(const Member& member, base::BootTime now) const;
  // Whether the known list of instances is good enough for a share.
  bool HasView(base::BootTime now) const;
  // Returns nullptr if this instance has no share in that step.
  const Division* ShareOf(const Member& member,
                          std::size_t step,
                          base::BootTime now) const;
  void Divide();

  Bounds bounds_;
  std::map<base::ServiceId, Terms> services_;
  std::map<base::ServiceId, Divisions> divisions_;
  base::InstanceId self_;
  std::vector<base::InstanceId> others_;
  // Number of times that the list was read, and when first and last.
  std::uint64_t view_count_ = 0;
  base::BootTime first_view_at_{};
  base::BootTime last_view_at_{};
  std::map<base::BackendId, Member> members_;
  std::vector<Change> changes_;
};

const char* ToString(ColdAllowance::State state);
const char* ToString(ColdAllowance::Source source);

}  // namespace dandelionmill::scheduling

#endif  // SRC_DANDELIONMILL_SCHEDULING_COLD_ALLOWANCE_H_
