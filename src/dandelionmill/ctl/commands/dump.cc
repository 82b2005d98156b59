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
  const auto dump = ReadDump(environment, base::ValueOf(address));
  if (!base::IsOk(dump))
    return ReportError(base::ErrorOf(dump), invocation, environment);
  environment.out << base::ValueOf(dump).dump(invocation.json ? -1 : 2) << "\n";
  return Exit::kDone;
}

}  // namespace

Command Dump() {
  return {"dump", "ADMIN_ADDRESS", "Prints the state of one process.", 1, 1, {},
          Run};
}

}  // namespace dandelionmill::ctl::commands
