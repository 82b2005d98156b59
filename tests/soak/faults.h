#ifndef TESTS_SOAK_FAULTS_H_
#define TESTS_SOAK_FAULTS_H_

#include <array>
#include <chrono>
#include <mutex>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "tests/soak/caller.h"
#include "tests/soak/fleet.h"
#include "tests/soak/records.h"

namespace soak {

// The faults that the soak injects. Unless stated otherwise, a fault lasts for
// PlannedFault::duration and is then reverted.

// Kills a gateway with SIGKILL and restarts it.
struct KillGateway {
  int gateway;
};
// Stops a gateway with SIGTERM and restarts it after it has exited.
struct RestartGateway {
  int gateway;
};
// Suspends a gateway with SIGSTOP and resumes it.
struct FreezeGateway {
  int gateway;
};
// Rewrites a gateway's settings file and sends SIGHUP.
struct ReloadGateway {
  int gateway;
};
// Delays or resets the connections of a link, or pauses one or both of its
// directions. The links are those between callers and a gateway, a gateway and
// the store, and gateways and a backend server.
enum class LinkFault {
  kDelay,
  kReset,
  kPauseUpstream,
  kPauseDownstream,
  kPauseBoth
};
struct DegradeCallerLink {
  int gateway;
  LinkFault link_fault;
};
struct DegradeStoreLink {
  int gateway;
  LinkFault link_fault;
};
struct DegradeBackendLink {
  LinkFault link_fault;
};
// The store answers every request with 503, drops the responses to commits, or
// discards its change history.
struct StoreDown {};
struct StoreDropsAnswers {};
struct StoreDropsHistory {};
// Restores the store from a copy that is `copy_age` old, after an outage. The
// operator and the backend servers write again `rewrite_delay` later.
struct RestoreStore {
  std::chrono::milliseconds copy_age;
  std::chrono::milliseconds rewrite_delay;
};
// Kills a backend server, removes its store entry after 3 s and adds a
// replacement.
struct KillBackend {};
// Suspends a backend server with SIGSTOP and resumes it.
struct FreezeBackend {};
// Adds a replacement, drains a backend server and stops it.
struct RetireBackend {};
// Stores three new configurations in succession.
struct ChangeConfiguration {};
// Stores `versions` configurations, one every `interval`. Skipped while another
// series runs.
struct ChangeConfigurationOften {
  int versions;
  std::chrono::milliseconds interval;
};

// Sends requests with a prompt part that crashes each backend server that runs
// one of them, and replaces the servers.
struct CrashingPrompts {
  unsigned number;
};
// Makes a backend server name a request limit.
struct LimitBackend {};
// Adds a replacement and stops a backend server that says in its responses that
// it leaves, while its entry stays ready.
struct BackendLeaves {};
// Makes a backend server turn requests away and ask for a pause.
struct PauseBackend {};
// Kills a backend server, or lets it drain and exit, and starts it again under
// its id and at its address after PlannedFault::duration. Its entry is written
// anew `entry_delay` after it accepts connections.
struct ReturnBackend {
  bool is_drained;
  bool changes_version;
  std::chrono::milliseconds entry_delay;
};
// Releases a new software version: for each backend server with another one, a
// server with the new version starts under an id of its own, `interval` after
// the one before, and the old one drains and leaves.
struct ReleaseVersion {
  std::chrono::milliseconds interval;
};
// The store turns one gateway away and serves the others.
struct TurnGatewayAway {
  int gateway;
};

// Cuts a gateway off from all backend servers: its connections are reset, new
// ones are refused. Callers, the store and the other gateways reach it.
struct PartitionGateway {
  int gateway;
};

using Fault = std::variant<KillGateway,
                           RestartGateway,
                           FreezeGateway,
                           ReloadGateway,
                           DegradeCallerLink,
                           DegradeStoreLink,
                           DegradeBackendLink,
                           StoreDown,
                           StoreDropsAnswers,
                           StoreDropsHistory,
                           RestoreStore,
                           KillBackend,
                           FreezeBackend,
                           RetireBackend,
                           ChangeConfiguration,
                           ChangeConfigurationOften,
                           CrashingPrompts,
                           LimitBackend,
                           BackendLeaves,
                           PauseBackend,
                           PartitionGateway,
                           ReturnBackend,
                           TurnGatewayAway,
                           ReleaseVersion>;

struct PlannedFault {
  std::chrono::milliseconds start{0};
  std::chrono::milliseconds duration{0};
  Fault fault;
};

// Returns the faults of a run of `length`, in the order of their start; they
// may overlap. Each seed selects a few kinds of fault, so that runs differ in
// which faults are combined. Every second seed, on average, adds series of
// configurations, each with gateways that lose the store meanwhile, and about
// as many add prompts that crash backend servers, request limits, backend
// servers that say they leave or ask for a pause, restores of the store, a
// gateway that is partitioned from the backend servers, backend servers that
// come back under their ids while gateways are turned away or frozen, or a
// release of a new software version while a gateway can't reach the store. A
// pure function.
std::vector<PlannedFault> PlanFaults(unsigned seed,
                                     std::chrono::milliseconds length,
                                     int gateways);

// Returns the bandwidth of each gateway's link to the store in bytes per
// second, 0 for no limit. A pure function.
std::vector<std::size_t> PlanStoreLinks(unsigned seed, int gateways);

// A step of an upgrade: a gateway is stopped with SIGTERM or SIGKILL `pause`
// after the step before, and starts with the given build.
struct GatewayReplacement {
  std::chrono::milliseconds pause;
  int gateway;
  Build build;
  bool is_killed;
};

// Returns the steps of an upgrade: every gateway is replaced by the new build,
// one after the other, about one in four is rolled back once and replaced
// again, and about one in five stops is a kill. A pure function.
std::vector<GatewayReplacement> PlanUpgrade(unsigned seed,
                                            std::chrono::milliseconds length,
                                            int gateways);

// Returns what callers ask for and how backend servers answer: as by default,
// or, for two seeds of three on average and those with a release, with longer
// streams that are broken off more often. A pure function.
Workload PlanWorkload(unsigned seed);

// Injects faults and records them. Inject blocks until its fault has been
// reverted; concurrent calls are allowed.
class FaultInjector {
 public:
  FaultInjector(Fleet& fleet, ExchangeLog& log) : fleet_(fleet), log_(log) {}

  void Inject(const PlannedFault& planned);

  // Performs the steps of an upgrade in sequence, each once the gateway of the
  // one before is ready or has had the time for it. Waits for faults that act
  // on the gateway meanwhile.
  void Upgrade(const std::vector<GatewayReplacement>& steps);

  // Returns what the faults were, and the violations seen while they were
  // injected; the rest is empty.
  Records records();

 private:
  // Records the start of a disturbance and returns its index.
  std::size_t BeginDisturbance(Disturbance::Component component,
                               Disturbance::Category category,
                               int target,
                               std::string what);
  void EndDisturbance(std::size_t index);
  void Restart(int gateway, std::string what);
  void KillAndStart(int gateway,
                    std::chrono::milliseconds absence,
                    std::string what);
  void SendCrashingPrompts(const PlannedFault& planned, unsigned number);
  // Signals `id`, waits for `duration` and adds the time to `periods`.
  void SignalFor(const std::string& id,
                 int signal,
                 std::chrono::milliseconds duration,
                 std::vector<BackendPeriod>& periods);
  void NameLimit(const PlannedFault& planned);
  void LeaveWithNotice(const PlannedFault& planned);
  void RestoreFromCopy(const PlannedFault& planned, const RestoreStore& fault);
  void StoreConfigurations(std::string what,
                           int versions,
                           std::chrono::milliseconds interval);
  void DegradeLinks(const std::vector<FaultProxy*>& links,
                    LinkFault link_fault,
                    std::chrono::milliseconds duration);
  void Partition(const PlannedFault& planned, int gateway);
  // Announces that a backend server drains and waits until it may end. Returns
  // the index of the announcement.
  std::size_t Drain(const std::string& id);
  void Return(const PlannedFault& planned, const ReturnBackend& fault);
  // Drains a claimed backend server and ends it.
  void Retire(const std::string& id);
  void Release(const ReleaseVersion& fault);
  // Returns the id of a random backend server, or an empty string if fewer than
  // three are running.
  std::string ChooseBackend();
  // Does the same and claims the server, so that no other fault ends it.
  std::string ClaimBackend();

  Fleet& fleet_;
  ExchangeLog& log_;
  std::mutex mutex_;
  Records records_;
  std::mt19937 random_{1};
  // Held while a series of configurations is stored.
  std::mutex series_mutex_;
  // Held while a gateway is partitioned from the backend servers.
  std::mutex partition_mutex_;
  // Held from a copy of the store until it has been restored from it.
  std::mutex copy_mutex_;
  // Held while a fault acts on the gateway's process.
  std::array<std::mutex, 16> gateway_mutexes_;
};

}  // namespace soak

#endif  // TESTS_SOAK_FAULTS_H_
