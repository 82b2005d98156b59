#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/ctl/fleet.h"

namespace dandelionmill::ctl::commands {
namespace {

using Json = nlohmann::json;

void PrintLine(const ProcessStatus& process, std::ostream& out) {
  out << process.kind << "  " << process.zone << "  " << process.name
      << "  version " << process.config_version
      << (process.reachable ? "" : "  unreachable")
      << (process.leaving ? "  leaving" : "") << "\n";
}

Exit Run(const Invocation& invocation, Environment& environment) {
  const FleetStatus status = ReadFleet(environment);
  Json array = Json::array();
  for (const ProcessStatus& process : status.processes) {
    if (invocation.json)
      array.push_back({{"kind", process.kind},
                       {"name", process.name},
                       {"zone", process.zone},
                       {"config_version", process.config_version},
                       {"reachable", process.reachable},
                       {"leaving", process.leaving}});
    else
      PrintLine(process, environment.out);
  }
  if (invocation.json)
    environment.out << array.dump() << "\n";
  for (const base::Error& error : status.errors)
    environment.err << "dandelionctl: " << base::ToString(error) << "\n";
  return status.processes.empty() ? Exit::kFailed : Exit::kDone;
}

}  // namespace

Command Members() {
  return {"members",
          "",
          "Lists the controls and routers of the fleet as reported by the "
          "processes at admin_addresses.",
          0,
          0,
          {},
          Run};
}

}  // namespace dandelionmill::ctl::commands
