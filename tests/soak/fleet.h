#ifndef TESTS_SOAK_FLEET_H_
#define TESTS_SOAK_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "standins/platform/rows_server.h"
#include "tests/soak/child_process.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/loop_thread.h"
#include "tests/soak/records.h"

namespace soak {

inline constexpr int kEventsPerStream = 20;
inline constexpr std::int64_t kPromptTokens = 100;
// The routes' timeout, which is also the callers' time limit.
inline constexpr std::chrono::milliseconds kRouteTimeout{3000};
// Routes that every version has and that no caller asks for; they give the
// configuration the size of a large deployment's.
inline constexpr int kUnusedRoutes = 260;
// Each version adds one route and removes the one that was added this many
// versions before.
inline constexpr std::size_t kRouteLifetimeVersions = 40;

// What callers ask for and how backend servers answer, in percent of requests.
struct Workload {
  // Between two events of a stream.
  std::chrono::milliseconds event_interval{15};
  // Refused or broken off by the backend server.
  unsigned failure_percent = 4;
  // Responses with neither a length nor chunks.
  unsigned unframed_percent = 10;
  // Resumable streams whose caller closes the connection in the middle.
  unsigned hang_up_percent = 0;
};

struct FleetOptions {
  // Ports base_port to base_port + 399 must be free, and 120 more for each
  // gateway but the first.
  int base_port = 29000;
  int gateways = 3;
  int backends = 4;
  Workload workload;
  // Bandwidth of each gateway's link to the store in bytes per second, by
  // number of the gateway; 0 and missing entries for no limit.
  std::vector<std::size_t> store_link_bytes_per_s;
  std::string gateway_program;
  // The program that all gateways run at first; empty for gateway_program.
  std::string old_gateway_program;
  std::string engine_program;
  // Directory for logs and settings files.
  std::string folder;
};

// Runs gateways and backend servers as processes, and the store in this
// process, with a fault proxy on each link between them. Thread-safe.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);

  const FleetOptions& options() const { return options_; }

  // Gateways are numbered from 0.
  void StartGateway(int gateway);
  // Selects the build that the gateway's next processes run.
  void SetBuild(int gateway, Build build);
  // Returns the build of each process so far; empty without an old program.
  std::map<GatewayBoot, Build> builds() const;
  void SignalGateway(int gateway, int signal);
  // Kills the gateway's process if it is running and releases it.
  void RemoveGateway(int gateway);
  // Returns the exit status, or the negated number of the terminating signal;
  // std::nullopt while the gateway is running or if it was removed.
  std::optional<int> GatewayStatus(int gateway);
  int boot(int gateway) const;
  int caller_port(int gateway) const;
  int metrics_port(int gateway) const;
  // Paths of the platform's settings file for a gateway and of the gateway's
  // own settings file.
  std::string PlatformSettingsPath(int gateway) const;
  std::string GatewaySettingsPath(int gateway) const;
  // Probes the readiness endpoint. Returns false on any error and after 300 ms
  // without a response.
  bool IsReady(int gateway) const;
  void RewriteSettings(int gateway);

  // Backend servers are identified by name. Without a version, an index in
  // kSoftwareVersions, a new server has one of those from the start.
  std::string AddBackend(std::optional<std::size_t> version = std::nullopt);
  // Excludes a server from backends() and from replacement until it is
  // released, and while it is gone. Returns false if it was excluded already.
  bool ClaimBackend(const std::string& id);
  void ReleaseBackend(const std::string& id);
  // Starts a stopped server again under its id and at its address, and waits
  // until it accepts connections. Its entry remains as it was.
  void ReturnBackend(const std::string& id, bool changes_version);
  void SignalBackend(const std::string& id, int signal);
  void SetBackendState(const std::string& id, const char* state);
  void RemoveBackendEntry(const std::string& id);
  void StopBackend(const std::string& id);
  // Replaces the backend servers that have exited by themselves.
  void ReplaceCrashedBackends();

  std::vector<std::string> backends() const;
  // The same, but for those that run the released software version.
  std::vector<std::string> unreleased_backends() const;

  // Stores the next configuration version, with a new key for the changing
  // account, more prepaid tokens for the small one and one new route in place
  // of an old one.
  void StoreNextConfiguration();
  std::vector<ConfigVersion> versions() const;
  std::vector<std::pair<std::string, std::int64_t>> prepaid() const;

  standins::platform::RowsServer& store() { return store_; }
  FaultProxy& caller_link(int gateway) { return *caller_links_[gateway]; }
  FaultProxy& store_link(int gateway) { return *store_links_[gateway]; }
  // Returns the links from the gateways to a backend server, by number of the
  // gateway; empty if there is none with this id.
  std::vector<std::shared_ptr<FaultProxy>> backend_links(const std::string& id);
  // Cuts a gateway off from all backend servers, or ends that.
  void SetPartitioned(int gateway, bool is_partitioned);
  // Lets the store turn a gateway away, and ends its calls; or ends that.
  void SetTurnedAway(int gateway, bool is_turned_away);

  // Adds the runs and the requests turned away from the backend servers' logs.
  void ReadRuns(Records& records) const;

 private:
  struct Backend {
    std::unique_ptr<ChildProcess> process;
    // By number of the gateway.
    std::vector<std::shared_ptr<FaultProxy>> links;
    std::string run_log;
    int slot = 0;
    bool is_listed = false;
    bool is_claimed = false;
    // Index in kSoftwareVersions.
    std::size_t version = 0;
    // Unix time of the start in ms.
    std::int64_t born = 0;
  };
  void StartBackend(const std::string& id, Backend& backend);
  void PutEntry(const std::string& id,
                const Backend& backend,
                const char* state);

  const FleetOptions options_;
  boost::asio::io_context loop_{1};
  standins::platform::RowsServer store_;
  std::vector<std::unique_ptr<FaultProxy>> caller_links_;
  std::vector<std::unique_ptr<FaultProxy>> store_links_;
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<ChildProcess>> gateways_;
  std::vector<int> boots_;
  // By number of the gateway; and of each process, with an old program.
  std::vector<Build> selected_builds_;
  std::map<GatewayBoot, Build> builds_;
  std::set<int> partitioned_gateways_;
  std::map<std::string, Backend> backends_;
  std::map<std::string, std::string> run_logs_;
  int next_backend_ = 0;
  std::vector<ConfigVersion> versions_;
  std::int64_t small_prepaid_ = 4000;
  // The last member, so that it ends before the proxies, also if the
  // constructor throws.
  LoopThread link_thread_{loop_};
};

// Account names.
inline constexpr char kLargeAccount[] = "large";
inline constexpr char kSmallAccount[] = "small";
inline constexpr char kChangingAccount[] = "changing";

// Returns the first version without the route that `version` added.
std::uint64_t RouteEnd(std::uint64_t version);

// Returns the API key of an account. Only the key of the changing account
// depends on the configuration version.
std::string KeyOf(const std::string& account, std::uint64_t version);

}  // namespace soak

#endif  // TESTS_SOAK_FLEET_H_
