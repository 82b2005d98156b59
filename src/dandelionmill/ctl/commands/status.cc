#include <algorithm>
#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/ctl/fleet.h"

namespace dandelionmill::ctl::commands {
namespace {

using Json = nlohmann::json;

// Compares the versions in force in the fleet with the accepted version.
struct Summary {
  base::ConfigVersion accepted = 0;
  // Lowest version in force in any process.
  base::ConfigVersion lowest_version = 0;
  // Processes that have an older version or are unreachable.
  std::vector<ProcessStatus> behind;
  std::size_t processes = 0;
};

Summary Summarize(const FleetStatus& fleet, base::ConfigVersion accepted) {
  Summary summary;
  summary.accepted = accepted;
  summary.lowest_version = accepted;
  summary.processes = fleet.processes.size();
  for (const ProcessStatus& process : fleet.processes) {
    summary.lowest_version =
        std::min(summary.lowest_version, process.config_version);
    if (process.config_version < accepted || !process.reachable)
      summary.behind.push_back(process);
  }
  return summary;
}

void PrintText(const Summary& summary, std::ostream& out) {
  out << "accepted version " << summary.accepted << ", slowest of "
      << summary.processes << " processes has " << summary.lowest_version
      << "\n";
  for (const ProcessStatus& process : summary.behind)
    out << "behind: " << process.kind << " " << process.name << " in "
        << process.zone << " has " << process.config_version
        << (process.reachable ? "" : ", unreachable") << "\n";
}

void PrintJson(const Summary& summary, std::ostream& out) {
  Json behind = Json::array();
  for (const ProcessStatus& process : summary.behind)
    behind.push_back({{"kind", process.kind},
                      {"name", process.name},
                      {"zone", process.zone},
                      {"reachable", process.reachable},
                      {"config_version", process.config_version}});
  out << Json{{"accepted_version", summary.accepted},
              {"slowest_version", summary.lowest_version},
              {"processes", summary.processes},
              {"behind", behind}}
             .dump()
      << "\n";
}

Exit Run(const Invocation& invocation, Environment& environment) {
  const auto accepted = ReadAccepted(environment.stores.table);
  if (!base::IsOk(accepted))
    return ReportError(base::ErrorOf(accepted), invocation, environment);
  const FleetStatus fleet = ReadFleet(environment);
  const Summary summary =
      Summarize(fleet, base::ValueOf(accepted).head.version);
  if (invocation.json)
    PrintJson(summary, environment.out);
  else
    PrintText(summary, environment.out);
  for (const base::Error& error : fleet.errors)
    environment.err << "dandelionctl: " << base::ToString(error) << "\n";
  return summary.behind.empty() && fleet.errors.empty() ? Exit::kDone
                                                        : Exit::kDifferent;
}

}  // namespace

Command Status() {
  return {"status",
          "",
          "Shows the accepted version and each process that is unreachable or "
          "has an older version in force. Exit status 5 if there is any or an "
          "admin port cannot be read.",
          0,
          0,
          {},
          Run};
}

}  // namespace dandelionmill::ctl::commands
