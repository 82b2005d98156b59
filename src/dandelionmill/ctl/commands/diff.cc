#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/change_output.h"
#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/ctl/files.h"

namespace dandelionmill::ctl::commands {
namespace {

base::Result<std::vector<inventory::Change>> Compare(
    const Invocation& invocation,
    Environment& environment) {
  const auto desired =
      ReadFiles(invocation.arguments[0], invocation.arguments[1]);
  if (!base::IsOk(desired))
    return base::ErrorOf(desired);
  const auto accepted = ReadAccepted(environment.stores.table);
  if (!base::IsOk(accepted))
    return base::ErrorOf(accepted);
  const auto current =
      ReadDocument(environment.stores.objects, base::ValueOf(accepted).head);
  if (!base::IsOk(current))
    return base::ErrorOf(current);
  return inventory::Diff(base::ValueOf(current), base::ValueOf(desired));
}

Exit Run(const Invocation& invocation, Environment& environment) {
  const auto changes = Compare(invocation, environment);
  if (!base::IsOk(changes))
    return ReportError(base::ErrorOf(changes), invocation, environment);
  if (invocation.json)
    environment.out << ToJson(base::ValueOf(changes)).dump() << "\n";
  else
    PrintChanges(base::ValueOf(changes), environment.out);
  return base::ValueOf(changes).empty() ? Exit::kDone : Exit::kDifferent;
}

}  // namespace

Command Diff() {
  return {"diff",
          "INVENTORY RULES",
          "Shows what applying the files would change. Exit status 5 when "
          "something differs.",
          2,
          2,
          {},
          Run};
}

}  // namespace dandelionmill::ctl::commands
