#include <algorithm>
#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/budget_rows.h"
#include "dandelionmill/ctl/commands/commands.h"

namespace dandelionmill::ctl::commands {
namespace {

using Json = nlohmann::json;

Json ToJson(const std::string& name, const budget::Row& row) {
  return {{"name", name},
          {"granted", row.granted},
          {"settled", row.settled},
          {"leased", budget::Outstanding(row)},
          {"written_off", row.written_off},
          {"free", budget::Free(row)}};
}

void Print(const Json& account,
           const Invocation& invocation,
           Environment& environment) {
  if (invocation.json) {
    environment.out << account.dump() << "\n";
    return;
  }
  environment.out << "client account " << account["id"].get<std::string>()
                  << ", " << account["keys"].get<std::size_t>() << " keys\n";
  for (const Json& budget : account["budgets"])
    environment.out << "budget " << budget["name"].get<std::string>()
                    << ": granted " << budget["granted"] << ", settled "
                    << budget["settled"] << ", leased " << budget["leased"]
                    << ", written off " << budget["written_off"] << ", free "
                    << budget["free"] << "\n";
}

base::Result<Json> Read(const std::string& id, Environment& environment) {
  const auto accepted = ReadAccepted(environment.stores.table);
  if (!base::IsOk(accepted))
    return base::ErrorOf(accepted);
  const auto document =
      ReadDocument(environment.stores.objects, base::ValueOf(accepted).head);
  if (!base::IsOk(document))
    return base::ErrorOf(document);
  const std::vector<inventory::Account>& accounts =
      base::ValueOf(document).accounts;
  const auto found = std::find_if(
      accounts.begin(), accounts.end(),
      [&](const inventory::Account& item) { return item.id.value() == id; });
  if (found == accounts.end())
    return base::Error{base::Code::kNotFound,
                       "there is no client account " + id};
  Json json = {{"id", id},
               {"keys", found->key_sha256.size()},
               {"budgets", Json::array()}};
  for (const inventory::Budget& budget : found->budgets) {
    const auto row =
        ReadBudget(environment.stores.table, {found->id, budget.name});
    if (!base::IsOk(row))
      return base::ErrorOf(row);
    json["budgets"].push_back(ToJson(budget.name, base::ValueOf(row)));
  }
  return json;
}

Exit Run(const Invocation& invocation, Environment& environment) {
  if (invocation.arguments[0] != "show")
    return ReportError({base::Code::kBadCommandLine,
                        "account expects arguments: show ACCOUNT"},
                       invocation, environment);
  const auto account = Read(invocation.arguments[1], environment);
  if (!base::IsOk(account))
    return ReportError(base::ErrorOf(account), invocation, environment);
  Print(base::ValueOf(account), invocation, environment);
  return Exit::kDone;
}

}  // namespace

Command Account() {
  return {"account",
          "show ACCOUNT",
          "Shows the granted, settled, leased, written-off and free tokens of "
          "a client account's budgets.",
          2,
          2,
          {},
          Run};
}

}  // namespace dandelionmill::ctl::commands
