#ifndef TESTS_SOAK_FLEET_H_
#define TESTS_SOAK_FLEET_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "standins/platform/rows_server.h"
#include "tests/soak/child_process.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/records.h"

namespace soak {

inline constexpr int kEventsOfAnswer = 20;
inline constexpr std::int64_t kPromptTokens = 100;
// Longest time that a caller is kept waiting.
inline constexpr std::chrono::milliseconds kRouteTimeout{3000};

struct FleetOptions {
  // Ports from here to base_port + 399 must be free.
  int base_port = 29000;
  int gateways = 3;
  int backends = 4;
  // Share of requests that a backend server refuses or breaks off.
  int trouble_percent = 4;
  std::string gateway_program;
  std::string engine_program;
  // Where logs go.
  std::string folder;
};

// Gateway processes, backend servers and the store, with a link before each
// that can be made worse. Safe from any thread.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();

  const FleetOptions& options() const { return options_; }

  // Gateways, by number from 0.
  void StartGateway(int gateway);
  void SignalGateway(int gateway, int number);
  // Forgets the process, ending it if it still runs.
  void RemoveGateway(int gateway);
  // Returns its exit status, if it has ended.
  std::optional<int> GatewayStatus(int gateway);
  int boot(int gateway) const;
  int caller_port(int gateway) const;
  int metrics_port(int gateway) const;
  // The platform's settings file of a gateway, and the gateway's own.
  std::string SettingsPath(int gateway) const;
  std::string GatewayFile(int gateway) const;
  // Asks whether it takes new connections.
  bool IsReady(int gateway) const;
  void RewriteSettings(int gateway);

  // Backend servers, by name.
  std::string AddBackend();
  void SignalBackend(const std::string& id, int number);
  void Announce(const std::string& id, const char* state);
  void Withdraw(const std::string& id);
  void EndBackend(const std::string& id);
  std::vector<std::string> backends() const;

  // The configuration with the next number: another key, and more prepaid
  // tokens.
  void Configure();
  std::vector<Version> versions() const;
  std::vector<std::pair<std::string, std::int64_t>> prepaid() const;

  standins::platform::RowsServer& store() { return store_; }
  FaultProxy& caller_link(int gateway) { return *caller_links_[gateway]; }
  FaultProxy& store_link(int gateway) { return *store_links_[gateway]; }
  // Null when the backend server is gone.
  std::shared_ptr<FaultProxy> backend_link(const std::string& id);

  // What the backend servers have run, from their logs.
  std::vector<Run> ReadRuns() const;

 private:
  struct Backend {
    std::unique_ptr<ChildProcess> process;
    std::shared_ptr<FaultProxy> link;
    std::string log;
    int port = 0;
    bool is_listed = false;
  };

  const FleetOptions options_;
  boost::asio::io_context loop_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread links_;
  standins::platform::RowsServer store_;
  std::vector<std::unique_ptr<FaultProxy>> caller_links_;
  std::vector<std::unique_ptr<FaultProxy>> store_links_;
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<ChildProcess>> gateways_;
  std::vector<int> boots_;
  std::map<std::string, Backend> backends_;
  std::map<std::string, std::string> logs_;
  int next_backend_ = 0;
  std::vector<Version> versions_;
  std::int64_t small_prepaid_ = 4000;
};

// Names of the accounts and their keys.
inline constexpr char kLargeAccount[] = "large";
inline constexpr char kSmallAccount[] = "small";
inline constexpr char kChangingAccount[] = "changing";

// Returns the key of an account; of the changing one that of a version.
std::string KeyOf(const std::string& account, std::uint64_t version);

}  // namespace soak

#endif  // TESTS_SOAK_FLEET_H_
