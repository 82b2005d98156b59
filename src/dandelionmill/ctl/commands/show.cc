#include <fstream>
#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/ctl/files.h"
#include "dandelionmill/inventory/to_json.h"

namespace dandelionmill::ctl::commands {
namespace {

using Json = nlohmann::json;

base::Result<inventory::Head> SelectHead(const Invocation& invocation,
                                         Environment& environment) {
  if (invocation.Has("version")) {
    const auto version = ParseVersion(invocation.Value("version"));
    if (!base::IsOk(version))
      return base::ErrorOf(version);
    return ReadHistoryHead(environment.stores.table, base::ValueOf(version));
  }
  const auto accepted = ReadAccepted(environment.stores.table);
  if (!base::IsOk(accepted))
    return base::ErrorOf(accepted);
  return base::ValueOf(accepted).head;
}

base::Status WriteFile(const std::string& path, const Json& json) {
  std::ofstream file(path, std::ios::binary);
  file << json.dump(2) << "\n";
  file.close();
  if (!file)
    return base::Error{base::Code::kBadCommandLine,
                       "file \"" + path + "\" cannot be written"};
  return base::Unit{};
}

Exit WriteFiles(const inventory::Head& head,
                const inventory::Document& document,
                const Invocation& invocation,
                Environment& environment) {
  for (const base::Status& written :
       {WriteFile(invocation.arguments[0], InventoryToJson(document)),
        WriteFile(invocation.arguments[1], ToJson(document.core.rules))}) {
    if (!base::IsOk(written))
      return ReportError(base::ErrorOf(written), invocation, environment);
  }
  if (invocation.json)
    environment.out << Json{{"version", head.version}}.dump() << "\n";
  else
    environment.out << "wrote version " << head.version
                    << "; apply your edits with --base " << head.version
                    << "\n";
  return Exit::kDone;
}

Exit Run(const Invocation& invocation, Environment& environment) {
  if (invocation.arguments.size() == 1)
    return ReportError(
        {base::Code::kBadCommandLine,
         "show expects INVENTORY and RULES or neither; see --help"},
        invocation, environment);
  const auto head = SelectHead(invocation, environment);
  if (!base::IsOk(head))
    return ReportError(base::ErrorOf(head), invocation, environment);
  const auto document =
      ReadDocument(environment.stores.objects, base::ValueOf(head));
  if (!base::IsOk(document))
    return ReportError(base::ErrorOf(document), invocation, environment);
  if (!invocation.arguments.empty())
    return WriteFiles(base::ValueOf(head), base::ValueOf(document), invocation,
                      environment);
  const Json shown = {{"version", base::ValueOf(head).version},
                      {"inventory", InventoryToJson(base::ValueOf(document))},
                      {"rules", ToJson(base::ValueOf(document).core.rules)}};
  environment.out << shown.dump(invocation.json ? -1 : 2) << "\n";
  return Exit::kDone;
}

}  // namespace

Command Show() {
  return {"show",
          "[INVENTORY RULES]",
          "Prints the accepted configuration, or writes it to two files for "
          "editing.",
          0,
          2,
          {{"version", "VERSION", "Show this version instead of the newest"}},
          Run};
}

}  // namespace dandelionmill::ctl::commands
