#include "support/fleet.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "dandelionmill/control/control_settings.h"
#include "dandelionmill/ctl/command.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/router/router_settings.h"
#include "dandelionmill/storage/http_platform.h"

namespace tests {
namespace {

using Json = nlohmann::json;
using dandelionmill::base::ErrorOf;
using dandelionmill::base::IsOk;
using dandelionmill::base::ValueOf;
using dandelionmill::net::Address;

constexpr char kHost[] = "127.0.0.1";
constexpr char kPlatformKey[] = "platform-secret";
constexpr char kAdminKey[] = "admin-secret";
constexpr std::chrono::seconds kPatience{30};

Address Loopback(int port) {
  return {kHost, port};
}

std::string Text(int port) {
  return dandelionmill::net::ToString(Loopback(port));
}

// The bus port of the zone's other instance: ports come in pairs of 20.
int OtherOfZone(int bus_port) {
  return bus_port % 20 == 0 ? bus_port + 10 : bus_port - 10;
}

void Require(const dandelionmill::base::Status& status) {
  if (!IsOk(status))
    throw std::runtime_error(dandelionmill::base::ToString(ErrorOf(status)));
}

std::unique_ptr<dandelionmill::settings::Values> CheckSettings(
    const dandelionmill::settings::Schema& schema,
    const Json& json) {
  auto checked = dandelionmill::settings::Check(schema, json.dump());
  if (!IsOk(checked))
    throw std::runtime_error(dandelionmill::base::ToString(ErrorOf(checked)));
  return std::make_unique<dandelionmill::settings::Values>(
      ValueOf(std::move(checked)));
}

}  // namespace

Fleet::Fleet(int base_port) : base_port_(base_port) {
  dandelionmill::log::Initialize("fleet", dandelionmill::log::Level::kError);
  char pattern[] = "/tmp/dandelion-fleet-XXXXXX";
  folder_ = mkdtemp(pattern);
  StartPlatform();
  StartBackends();
  AddInstance("a1", "a", base_port_ + 20);
  AddInstance("a2", "a", base_port_ + 30);
  AddInstance("b1", "b", base_port_ + 40);
  AddInstance("b2", "b", base_port_ + 50);
}

Fleet::~Fleet() {
  for (auto& [name, instance] : instances_) {
    instance.router.reset();
    instance.control.reset();
  }
}

void Fleet::StartPlatform() {
  standins::platform::PlatformServer::Options options;
  options.listen = Loopback(base_port_);
  options.admin = Loopback(base_port_ + 1);
  options.key = kPlatformKey;
  options.list_lag = std::chrono::milliseconds(0);
  platform_ = std::make_unique<standins::platform::PlatformServer>(options);
  Require(platform_->Start());
}

void Fleet::StartBackends() {
  using standins::backend::BackendServer;
  using standins::backend::Kind;
  const std::vector<std::string> names = {"engine-a", "engine-b", "ledger"};
  for (std::size_t i = 0; i < names.size(); ++i) {
    BackendServer::Options options;
    const int port = base_port_ + 2 + 2 * static_cast<int>(i);
    options.listen = Loopback(port);
    options.admin = Loopback(port + 1);
    options.id = names[i];
    options.kind = names[i] == "ledger" ? Kind::kPlain : Kind::kModel;
    options.models = {"ochre-8b"};
    options.token_interval = std::chrono::milliseconds(2);
    backends_.push_back(std::make_unique<BackendServer>(options));
    Require(backends_.back()->Start());
  }
}

void Fleet::AddInstance(const std::string& name,
                        const std::string& zone,
                        int port) {
  const Json common = {{"instance", name},
                       {"zone", zone},
                       {"region", "r"},
                       {"admin_key", kAdminKey},
                       {"fleet_key", "fleet-secret"}};
  Json control = common;
  control.update({{"bus_address", Text(port)},
                  {"admin_address", Text(port + 1)},
                  {"platform_address", Text(base_port_)},
                  {"platform_key", kPlatformKey},
                  {"platform_timeout_ms", 1000}});
  Json router = common;
  router.update({{"listen_address", Text(port + 2)},
                 {"admin_address", Text(port + 3)},
                 {"control_address", Text(port)},
                 {"fallback_controls", {Text(OtherOfZone(port))}},
                 {"lame_duck_ms", 0}});
  Instance& instance = instances_[name];
  instance.control_settings =
      CheckSettings(dandelionmill::control::ControlSchema(), control);
  instance.router_settings =
      CheckSettings(dandelionmill::router::RouterSchema(), router);
  instance.caller_port = port + 2;
  const Json listed = {
      {"id", name},    {"role", "entry"},       {"zone", zone},
      {"region", "r"}, {"address", Text(port)}, {"state", "live"}};
  httplib::Client(kHost, base_port_ + 1)
      .Put("/instances/" + name, listed.dump(), "application/json");
  StartControl(name);
  StartRouter(name);
}

Fleet::Instance& Fleet::Find(const std::string& instance) {
  return instances_.at(instance);
}

int Fleet::AdminPortOf(const std::string& standin) const {
  const std::map<std::string, int> offsets = {
      {"platform", 1}, {"engine-a", 3}, {"engine-b", 5}, {"ledger", 7}};
  return base_port_ + offsets.at(standin);
}

std::string Fleet::Operate(const std::vector<std::string>& words) {
  const dandelionmill::storage::PlatformAddress platform{
      Loopback(base_port_), kPlatformKey, kPatience};
  dandelionmill::storage::HttpTableStore table(platform);
  dandelionmill::storage::HttpObjectStore objects(platform);
  std::vector<Address> admins;
  for (int port = base_port_ + 20; port < base_port_ + 60; port += 10) {
    admins.push_back(Loopback(port + 1));
    admins.push_back(Loopback(port + 3));
  }
  std::ostringstream out;
  dandelionmill::ctl::Environment environment{{table, objects},
                                              admins,
                                              kAdminKey,
                                              kPatience,
                                              "operator",
                                              std::chrono::system_clock::now(),
                                              out,
                                              out};
  const auto exit = dandelionmill::ctl::RunCommandLine(words, environment);
  out << "exit status " << static_cast<int>(exit) << "\n";
  return out.str();
}

std::string Fleet::WriteFile(const std::string& name, const std::string& text) {
  const std::string path = folder_ + "/" + name;
  std::ofstream(path, std::ios::binary) << text;
  return path;
}

Fleet::Answer Fleet::Send(const std::string& instance, const Call& call) {
  httplib::Client client(kHost, Find(instance).caller_port);
  client.set_read_timeout(kPatience);
  httplib::Headers headers;
  if (!call.key.empty())
    headers.emplace("Authorization", "Bearer " + call.key);
  for (const auto& [name, value] : call.headers)
    headers.emplace(name, value);
  const httplib::Result result =
      client.Post(call.path, headers, call.body, "application/json");
  Answer answer;
  if (!result)
    return answer;
  answer.status = result->status;
  answer.body = result->body;
  for (const auto& [name, value] : result->headers)
    answer.headers[name] = value;
  return answer;
}

void Fleet::SendBytes(const std::string& instance, const std::string& bytes) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(Find(instance).caller_port));
  inet_pton(AF_INET, kHost, &address.sin_addr);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0)
    send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  close(socket);
}

void Fleet::CrashRouter(const std::string& instance) {
  Find(instance).router.reset();
}

void Fleet::CrashControl(const std::string& instance) {
  Find(instance).control.reset();
}

void Fleet::StartRouter(const std::string& instance) {
  Instance& found = Find(instance);
  found.router =
      std::make_unique<dandelionmill::router::Router>(*found.router_settings);
  Require(found.router->Start());
}

void Fleet::StartControl(const std::string& instance) {
  Instance& found = Find(instance);
  found.control = std::make_unique<dandelionmill::control::Control>(
      *found.control_settings);
  Require(found.control->Start());
}

void Fleet::SetFaults(const std::string& standin, const std::string& json) {
  httplib::Client(kHost, AdminPortOf(standin))
      .Post("/faults", json, "application/json");
}

std::string Fleet::Records(const std::string& standin) {
  const auto answer =
      httplib::Client(kHost, AdminPortOf(standin)).Get("/records");
  return answer ? answer->body : "{}";
}

bool Fleet::Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace tests
