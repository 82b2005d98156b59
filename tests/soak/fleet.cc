#include "tests/soak/fleet.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace soak {
namespace {

using nlohmann::json;

constexpr std::int64_t kLargePrepaid = 1000000000;
constexpr std::int64_t kPrepaidIncrement = 1000;
constexpr std::uint64_t kFirstVersion = 10;
constexpr std::uint64_t kVersionStep = 3;

// Port offsets from FleetOptions::base_port.
constexpr int kCallerOffset = 10;
constexpr int kCallerLinkOffset = 30;
constexpr int kStoreLinkOffset = 50;
constexpr int kReadinessOffset = 70;
constexpr int kPeerOffset = 90;
constexpr int kMetricsOffset = 110;
constexpr int kBackendOffset = 130;
constexpr int kBackendLinkOffset = 260;
constexpr int kStoreViewOffset = 380;
// The links of the gateways but the first follow the other ports.
constexpr int kMoreBackendLinksOffset = 400;
constexpr int kBackendSlots = 120;
constexpr int kMaxStartPolls = 1000;
constexpr std::chrono::milliseconds kStartPollInterval{5};

json Route(const std::string& prefix,
           const char* kind,
           int attempts,
           bool resumable) {
  return {{"name", prefix},
          {"host", "soak.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"service", "work"},
          {"attempts", attempts},
          {"timeoutMs", kRouteTimeout.count()},
          {"targetLatencyMs", 300},
          {"targetGapMs", 300},
          {"priority", 1},
          {"resumable", resumable}};
}

json Routes(std::uint64_t version) {
  json routes = {Route("/plain/", "safe", 2, false),
                 Route("/once/", "unsafe", 1, false),
                 Route("/stream/", "streaming", 3, true),
                 Route("/single/", "streaming", 1, false)};
  for (int i = 0; i < kUnusedRoutes; ++i)
    routes.push_back(
        Route("/unused/" + std::to_string(i) + "/", "safe", 2, false));
  for (std::uint64_t added = kFirstVersion; added <= version;
       added += kVersionStep) {
    if (RouteEnd(added) > version)
      routes.push_back(
          Route("/v" + std::to_string(added) + "/", "safe", 2, false));
  }
  return routes;
}

json Configuration(std::uint64_t version, std::int64_t small_prepaid) {
  const auto account = [version](const char* name, std::int64_t prepaid) {
    return json{{"name", name},
                {"apiKeys", {KeyOf(name, version)}},
                {"prepaid", prepaid}};
  };
  return {{"version", version},
          {"routes", Routes(version)},
          {"services",
           {{{"name", "work"},
             {"connectionLimit", 200},
             {"engine",
              {{"slots", 16}, {"kvCacheTokens", 100000}, {"stride", 5}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 100000},
            {"headerTimeoutMs", 2000},
            {"idleTimeoutMs", 10000}}},
          {"tenants",
           {account(kLargeAccount, kLargePrepaid),
            account(kSmallAccount, small_prepaid),
            account(kChangingAccount, kLargePrepaid)}}};
}

// Port of the link from a gateway to the backend server in `slot`.
int BackendLinkPort(int base_port, int gateway, int slot) {
  return gateway == 0 ? base_port + kBackendLinkOffset + slot
                      : base_port + kMoreBackendLinksOffset +
                            (gateway - 1) * kBackendSlots + slot;
}

// Replaces a file atomically, since a process may be reading it.
void WriteAtomically(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
}

std::string LoopbackAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Connects the socket. Returns false if no process listens on the port.
bool Connect(boost::asio::ip::tcp::socket& socket, int port) {
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                  static_cast<unsigned short>(port)},
                 error);
  return !error;
}

bool Accepts(int port) {
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket socket(loop);
  return Connect(socket, port);
}

}  // namespace

std::uint64_t RouteEnd(std::uint64_t version) {
  return version + kRouteLifetimeVersions * kVersionStep;
}

std::string KeyOf(const std::string& account, std::uint64_t version) {
  return account == kChangingAccount ? account + "-" + std::to_string(version)
                                     : account + "-key";
}

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)),
      store_(options_.base_port),
      gateways_(options_.gateways),
      boots_(options_.gateways),
      selected_builds_(
          options_.gateways,
          options_.old_gateway_program.empty() ? Build::kNew : Build::kOld) {
  StoreNextConfiguration();
  const int base = options_.base_port;
  for (int gateway = 0; gateway < options_.gateways; ++gateway) {
    caller_links_.push_back(
        std::make_unique<FaultProxy>(loop_, base + kCallerLinkOffset + gateway,
                                     base + kCallerOffset + gateway));
    // Each gateway reads its own link as the address of a backend server.
    store_.AddView(
        base + kStoreViewOffset + gateway,
        [base, gateway](const std::string& table, const std::string&,
                        const std::string& value) {
          json row = json::parse(value, nullptr, false);
          if (table != "servers" || !row.is_object() || !row.contains("slot"))
            return value;
          row["address"] =
              LoopbackAddress(BackendLinkPort(base, gateway, row["slot"]));
          return row.dump();
        });
    store_links_.push_back(
        std::make_unique<FaultProxy>(loop_, base + kStoreLinkOffset + gateway,
                                     base + kStoreViewOffset + gateway));
    if (static_cast<std::size_t>(gateway) <
        options_.store_link_bytes_per_s.size())
      store_links_.back()->SetBytesPerSecond(
          options_.store_link_bytes_per_s[gateway]);
    WriteAtomically(GatewaySettingsPath(gateway),
                    json{{"metrics_port", metrics_port(gateway)},
                         {"log_lines_per_s", 100000}}
                        .dump());
    RewriteSettings(gateway);
    StartGateway(gateway);
  }
  for (int backend = 0; backend < options_.backends; ++backend)
    AddBackend();
}

std::string Fleet::GatewaySettingsPath(int gateway) const {
  return options_.folder + "/gateway-" + std::to_string(gateway) + ".json";
}

int Fleet::metrics_port(int gateway) const {
  return options_.base_port + kMetricsOffset + gateway;
}

std::string Fleet::PlatformSettingsPath(int gateway) const {
  return options_.folder + "/node-" + std::to_string(gateway) + ".conf";
}

void Fleet::RewriteSettings(int gateway) {
  const int base = options_.base_port;
  std::ostringstream text;
  text << "nodeName=front-" << gateway << "\nzone=here-a\nregion=here\n"
       << "zones.here-a=here\nipAddress=127.0.0.1\nlisten.frontend="
       << LoopbackAddress(base + kCallerOffset + gateway) << "\nlisten.ready="
       << LoopbackAddress(base + kReadinessOffset + gateway)
       << "\ninternalPortRange=" << base + kPeerOffset + gateway << ","
       << base + kPeerOffset + gateway << "\nplatform.address="
       << LoopbackAddress(base + kStoreLinkOffset + gateway)
       << "\nbounds.graceS=8\nbounds.drainMs=2500\n"
          "bounds.retryBudgetRatio=0.2\nbounds.retryBudgetSlack=50\n"
          "bounds.budgetWindowS=10\nlimits.memoryMb=260\n";
  WriteAtomically(PlatformSettingsPath(gateway), text.str());
}

void Fleet::StartGateway(int gateway) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int boot = ++boots_[gateway];
  const Build build = selected_builds_[gateway];
  if (!options_.old_gateway_program.empty())
    builds_[{gateway, boot}] = build;
  gateways_[gateway] = std::make_unique<ChildProcess>(
      std::vector<std::string>{build == Build::kOld
                                   ? options_.old_gateway_program
                                   : options_.gateway_program,
                               "--settings", GatewaySettingsPath(gateway)},
      std::vector<std::string>{"DANDELIONMILL_NODE_FILE=" +
                               PlatformSettingsPath(gateway)},
      options_.folder + "/gateway-" + std::to_string(gateway) + "-boot-" +
          std::to_string(boot) + ".log");
}

void Fleet::SetBuild(int gateway, Build build) {
  const std::lock_guard<std::mutex> lock(mutex_);
  selected_builds_[gateway] = build;
}

std::map<GatewayBoot, Build> Fleet::builds() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return builds_;
}

void Fleet::SignalGateway(int gateway, int signal) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (gateways_[gateway])
    gateways_[gateway]->Signal(signal);
}

void Fleet::RemoveGateway(int gateway) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gateways_[gateway].reset();
}

std::optional<int> Fleet::GatewayStatus(int gateway) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return gateways_[gateway] ? gateways_[gateway]->Status() : std::nullopt;
}

int Fleet::boot(int gateway) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return boots_[gateway];
}

int Fleet::caller_port(int gateway) const {
  return options_.base_port + kCallerLinkOffset + gateway;
}

bool Fleet::IsReady(int gateway) const {
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket socket(loop);
  if (!Connect(socket, options_.base_port + kReadinessOffset + gateway))
    return false;
  // The kernel accepts connections for a suspended process, which then does not
  // respond.
  const timeval timeout{0, 300000};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
  const std::string request =
      "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char answer[13] = {};
  return ::send(socket.native_handle(), request.data(), request.size(),
                MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()) &&
         ::recv(socket.native_handle(), answer, 12, MSG_WAITALL) == 12 &&
         std::string(answer + 9, 3) == "200";
}

std::string Fleet::AddBackend(std::optional<std::size_t> version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  // Ports are reused, as addresses are in a deployment.
  const int slot = next_backend_ % kBackendSlots;
  const std::string id = "b-" + std::to_string(next_backend_++);
  Backend& backend = backends_[id];
  backend.slot = slot;
  backend.run_log = options_.folder + "/" + id + ".runs";
  run_logs_[id] = backend.run_log;
  backend.version =
      version.value_or(static_cast<std::size_t>(slot) % kFirstSoftwareVersions);
  StartBackend(id, backend);
  const int port = options_.base_port + kBackendOffset + slot;
  for (int gateway = 0; gateway < options_.gateways; ++gateway) {
    backend.links.push_back(std::make_shared<FaultProxy>(
        loop_, BackendLinkPort(options_.base_port, gateway, slot), port, true));
    if (partitioned_gateways_.count(gateway) != 0)
      backend.links.back()->Refuse();
  }
  std::vector<FaultProxy*> links;
  for (const auto& link : backend.links)
    links.push_back(link.get());
  for (FaultProxy* link : links)
    link->ShareTarget(links);
  backend.is_listed = true;
  PutEntry(id, backend, "ready");
  return id;
}

void Fleet::StartBackend(const std::string& id, Backend& backend) {
  const Workload& workload = options_.workload;
  backend.born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  backend.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          options_.engine_program, id,
          std::to_string(options_.base_port + kBackendOffset + backend.slot),
          backend.run_log, kSoftwareVersions.at(backend.version),
          std::to_string(backend.born),
          std::to_string(workload.event_interval.count()),
          std::to_string(workload.failure_percent),
          std::to_string(workload.unframed_percent)},
      std::vector<std::string>{}, options_.folder + "/" + id + ".log");
}

void Fleet::PutEntry(const std::string& id,
                     const Backend& backend,
                     const char* state) {
  store_.Put("servers", id,
             {{"service", "work"},
              {"slot", backend.slot},
              {"address", LoopbackAddress(options_.base_port + kBackendOffset +
                                          backend.slot)},
              {"zone", "here-a"},
              {"slots", 16},
              {"state", state},
              {"version", kSoftwareVersions.at(backend.version)},
              {"born", backend.born}});
}

bool Fleet::ClaimBackend(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = backends_.find(id);
  return found != backends_.end() && found->second.is_listed &&
         !std::exchange(found->second.is_claimed, true);
}

void Fleet::ReleaseBackend(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  backends_.at(id).is_claimed = false;
}

void Fleet::ReturnBackend(const std::string& id, bool changes_version) {
  int slot = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Backend& backend = backends_.at(id);
    if (changes_version)
      backend.version = backend.version == 0 ? 1 : 0;
    backend.is_listed = true;
    StartBackend(id, backend);
    slot = backend.slot;
  }
  const int port = options_.base_port + kBackendOffset + slot;
  for (int i = 0; i < kMaxStartPolls && !Accepts(port); ++i)
    std::this_thread::sleep_for(kStartPollInterval);
  for (const auto& link : backend_links(id))
    link->TargetReturned();
}

void Fleet::SignalBackend(const std::string& id, int signal) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.process)
    found->second.process->Signal(signal);
}

void Fleet::SetBackendState(const std::string& id, const char* state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = backends_.find(id);
  if (found != backends_.end())
    PutEntry(id, found->second, state);
}

void Fleet::RemoveBackendEntry(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = backends_.find(id);
  if (found != backends_.end())
    found->second.is_listed = false;
  store_.Delete("servers", id);
}

void Fleet::StopBackend(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = backends_.find(id);
  if (found == backends_.end())
    return;
  found->second.process.reset();
  found->second.links[0]->CheckTarget();
}

void Fleet::ReplaceCrashedBackends() {
  std::vector<std::string> crashed;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [id, backend] : backends_) {
      if (backend.is_listed && !backend.is_claimed && backend.process &&
          backend.process->Status())
        crashed.push_back(id);
    }
  }
  for (const std::string& id : crashed) {
    RemoveBackendEntry(id);
    StopBackend(id);
    AddBackend();
  }
}

std::vector<std::string> Fleet::backends() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> ids;
  for (const auto& [id, backend] : backends_) {
    if (backend.process && backend.is_listed && !backend.is_claimed)
      ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> Fleet::unreleased_backends() const {
  std::vector<std::string> ids = backends();
  const std::lock_guard<std::mutex> lock(mutex_);
  ids.erase(std::remove_if(ids.begin(), ids.end(),
                           [this](const std::string& id) {
                             return backends_.at(id).version ==
                                    kReleasedSoftwareVersion;
                           }),
            ids.end());
  return ids;
}

std::vector<std::shared_ptr<FaultProxy>> Fleet::backend_links(
    const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = backends_.find(id);
  if (found == backends_.end())
    return {};
  return found->second.links;
}

void Fleet::SetPartitioned(int gateway, bool is_partitioned) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_partitioned)
    partitioned_gateways_.insert(gateway);
  else
    partitioned_gateways_.erase(gateway);
  for (auto& [id, backend] : backends_) {
    FaultProxy& link = *backend.links[gateway];
    if (is_partitioned)
      link.Refuse();
    else
      link.StopRefusing();
  }
}

void Fleet::SetTurnedAway(int gateway, bool is_turned_away) {
  store_.SetTurnedAway(options_.base_port + kStoreViewOffset + gateway,
                       is_turned_away);
  store_link(gateway).Reset();
}

void Fleet::StoreNextConfiguration() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint64_t number = versions_.empty()
                                   ? kFirstVersion
                                   : versions_.back().number + kVersionStep;
  if (!versions_.empty())
    small_prepaid_ += kPrepaidIncrement;
  const json configuration = Configuration(number, small_prepaid_);
  // The time before the call, as a gateway may use the version before it
  // returns.
  const Time stored = std::chrono::steady_clock::now();
  store_.Put("op", "config", configuration);
  versions_.push_back({number, stored});
}

std::vector<ConfigVersion> Fleet::versions() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return versions_;
}

std::vector<std::pair<std::string, std::int64_t>> Fleet::prepaid() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {{kLargeAccount, kLargePrepaid}, {kSmallAccount, small_prepaid_}};
}

void Fleet::ReadRuns(Records& records) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::pair<std::string, std::string>, std::size_t> last_run;
  for (const auto& [id, path] : run_logs_) {
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream fields(line);
      std::string event;
      std::int64_t time_us = 0;
      Run run;
      run.backend = id;
      fields >> event >> time_us >> run.after_event >> run.id >> run.account;
      run.started = Time(std::chrono::microseconds(time_us));
      const auto key = std::pair(run.backend, run.id);
      if (event == "run") {
        last_run[key] = records.runs.size();
        records.runs.push_back(run);
      } else if (event == "turned_away") {
        records.turned_away.push_back(run);
      } else if (last_run.count(key) > 0) {
        records.runs[last_run[key]].was_broken_off = true;
      }
    }
  }
}

}  // namespace soak
