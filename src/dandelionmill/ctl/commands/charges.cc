#include <algorithm>
#include <nlohmann/json.hpp>

#include "dandelionmill/billing/charge.h"
#include "dandelionmill/ctl/commands/commands.h"

namespace dandelionmill::ctl::commands {
namespace {

using Json = nlohmann::json;

constexpr int kPageSize = 1000;  // object names per List call

// Reads all charges stored under `prefix`, in order of object name. Fails with
// the store's error, or with a parse error that names the object.
base::Result<std::vector<billing::Charge>> ReadCharges(
    storage::ObjectReader& objects,
    const std::string& prefix) {
  std::vector<billing::Charge> charges;
  std::string after;
  while (true) {
    const auto names = objects.List(prefix, after, kPageSize);
    if (!base::IsOk(names))
      return base::ErrorOf(names);
    for (const std::string& name : base::ValueOf(names)) {
      const auto content = objects.Get(name);
      if (!base::IsOk(content))
        return base::ErrorOf(content);
      const auto parsed = billing::ParseCharges(base::ValueOf(content));
      if (!base::IsOk(parsed))
        return base::Error{base::ErrorOf(parsed).code,
                           name + ": " + base::ErrorOf(parsed).detail};
      charges.insert(charges.end(), base::ValueOf(parsed).begin(),
                     base::ValueOf(parsed).end());
      after = name;
    }
    if (static_cast<int>(base::ValueOf(names).size()) < kPageSize)
      return charges;
  }
}

void Print(const std::vector<billing::Charge>& charges,
           const Invocation& invocation,
           Environment& environment) {
  const auto totals = billing::SumByBudget(charges);
  if (invocation.json) {
    Json json = {{"charges", Json::array()}, {"totals", Json::object()}};
    for (const billing::Charge& charge : charges)
      json["charges"].push_back(Json::parse(billing::ToJsonLine(charge)));
    for (const auto& [name, total] : totals)
      json["totals"][name] = {{"requests", total.requests},
                              {"tokens", total.tokens}};
    environment.out << json.dump() << "\n";
    return;
  }
  for (const auto& [name, total] : totals)
    environment.out << name << ": " << total.requests << " requests, "
                    << total.tokens << " tokens\n";
}

Exit Run(const Invocation& invocation, Environment& environment) {
  const std::string day = invocation.Value("day");
  const auto read =
      ReadCharges(environment.stores.objects,
                  day.empty() ? "charges/" : "charges/" + day + "/");
  if (!base::IsOk(read))
    return ReportError(base::ErrorOf(read), invocation, environment);
  std::vector<billing::Charge> charges =
      billing::DeduplicateCharges(base::ValueOf(read));
  if (!invocation.arguments.empty()) {
    const base::AccountId account(invocation.arguments[0]);
    charges.erase(std::remove_if(charges.begin(), charges.end(),
                                 [&](const billing::Charge& charge) {
                                   return charge.account != account;
                                 }),
                  charges.end());
  }
  Print(charges, invocation, environment);
  return Exit::kDone;
}

}  // namespace

Command Charges() {
  return {"charges",
          "[ACCOUNT]",
          "Sums the stored charges by budget, counting each request once; "
          "--json also lists them.",
          0,
          1,
          {{"day", "YYYY-MM-DD", "Only charges stored on this day"}},
          Run};
}

}  // namespace dandelionmill::ctl::commands
