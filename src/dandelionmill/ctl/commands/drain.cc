#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/admin_client.h"
#include "dandelionmill/ctl/commands/commands.h"

namespace dandelionmill::ctl::commands {
namespace {

Exit Run(const Invocation& invocation, Environment& environment) {
  const base::Result<net::Address> address =
      net::ParseAddress(invocation.arguments[0]);
  if (!base::IsOk(address))
    return ReportError(
        {base::Code::kBadCommandLine, base::ErrorOf(address).detail},
        invocation, environment);
  const base::Status sent =
      PostCommand(environment, base::ValueOf(address), "/drain");
  if (!base::IsOk(sent))
    return ReportError(base::ErrorOf(sent), invocation, environment);
  if (invocation.json)
    environment.out
        << nlohmann::json{{"draining", invocation.arguments[0]}}.dump() << "\n";
  else
    environment.out << invocation.arguments[0]
                    << " finishes what it has and ends\n";
  return Exit::kDone;
}

}  // namespace

Command Drain() {
  return {"drain",
          "ADMIN_ADDRESS",
          "Drains one process, as SIGTERM does: it accepts no new work, "
          "completes its running work and exits. Drain the router of an "
          "instance before its control.",
          1,
          1,
          {},
          Run};
}

}  // namespace dandelionmill::ctl::commands
