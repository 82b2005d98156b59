#include "dandelionmill/ctl/fleet.h"

#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "dandelionmill/ctl/admin_client.h"

namespace dandelionmill::ctl {
namespace {

using Json = nlohmann::json;
using ProcessKey = std::tuple<std::string, std::string, std::string>;
using ProcessMap = std::map<ProcessKey, ProcessStatus>;

// Keeps the status with the highest configuration version for each process; the
// later of two equal ones.
void AddStatus(ProcessMap& processes, ProcessStatus status) {
  const ProcessKey key(status.kind, status.zone, status.name);
  const auto known = processes.find(key);
  if (known == processes.end() ||
      known->second.config_version <= status.config_version)
    processes[key] = std::move(status);
}

ProcessStatus ToStatus(const char* kind,
                       const char* name_key,
                       const Json& json) {
  return {kind,
          json.value(name_key, ""),
          json.value("zone", ""),
          json.value("config_version", base::ConfigVersion{0}),
          json.value("reachable", true),
          json.value("leaving", false)};
}

void AddDump(ProcessMap& processes, const Json& dump) {
  if (!dump.contains("membership")) {
    AddStatus(processes, ToStatus("router", "router", dump));
    return;
  }
  const Json& membership = dump["membership"];
  for (const Json& control : membership.value("controls", Json::array()))
    AddStatus(processes, ToStatus("control", "instance", control));
  for (const Json& router : membership.value("routers", Json::array()))
    AddStatus(processes, ToStatus("router", "router", router));
}

}  // namespace

FleetStatus ReadFleet(const Environment& environment) {
  FleetStatus status;
  ProcessMap processes;
  for (const net::Address& address : environment.admin_addresses) {
    const auto dump = ReadDump(environment, address);
    if (base::IsOk(dump))
      AddDump(processes, base::ValueOf(dump));
    else
      status.errors.push_back(base::ErrorOf(dump));
  }
  for (auto& [key, process] : processes)
    status.processes.push_back(std::move(process));
  return status;
}

}  // namespace dandelionmill::ctl
