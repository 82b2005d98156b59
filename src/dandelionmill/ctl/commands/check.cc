#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/ctl/files.h"

namespace dandelionmill::ctl::commands {
namespace {

Exit Run(const Invocation& invocation, Environment& environment) {
  const auto document =
      ReadFiles(invocation.arguments[0], invocation.arguments[1]);
  if (!base::IsOk(document))
    return ReportError(base::ErrorOf(document), invocation, environment);
  const inventory::Document& checked = base::ValueOf(document);
  if (invocation.json)
    environment.out << nlohmann::json{{"valid", true}}.dump() << "\n";
  else
    environment.out << "valid: " << checked.core.services.size()
                    << " services, " << checked.core.backends.size()
                    << " backend servers, " << checked.accounts.size()
                    << " client accounts\n";
  return Exit::kDone;
}

}  // namespace

Command Check() {
  return {"check",
          "INVENTORY RULES",
          "Checks an inventory file and a rules file without changing "
          "anything.",
          2,
          2,
          {},
          Run};
}

}  // namespace dandelionmill::ctl::commands
