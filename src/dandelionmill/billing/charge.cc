#include "dandelionmill/billing/charge.h"

#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

namespace dandelionmill::billing {
namespace {

using Json = nlohmann::json;

Charge ParseFields(const Json& json) {
  Charge charge;
  charge.account = base::AccountId(json.at("account").get<std::string>());
  charge.budget = json.at("budget").get<std::string>();
  charge.request_key =
      base::RequestKey(json.at("request_key").get<std::string>());
  charge.attempt = base::AttemptId(json.at("attempt").get<std::string>());
  charge.service = json.value("service", "");
  charge.model = json.value("model", "");
  charge.backend = base::BackendId(json.value("backend", ""));
  charge.prompt_tokens = json.at("prompt_tokens").get<base::Tokens>();
  charge.completion_tokens = json.at("completion_tokens").get<base::Tokens>();
  charge.tokens = json.at("tokens").get<base::Tokens>();
  charge.outcome = json.value("outcome", "");
  charge.ended_at_unix_ms = json.value("ended_at_unix_ms", std::int64_t{0});
  return charge;
}

}  // namespace

std::string ToJsonLine(const Charge& charge) {
  const Json json = {{"account", charge.account.value()},
                     {"budget", charge.budget},
                     {"request_key", charge.request_key.value()},
                     {"attempt", charge.attempt.value()},
                     {"service", charge.service},
                     {"model", charge.model},
                     {"backend", charge.backend.value()},
                     {"prompt_tokens", charge.prompt_tokens},
                     {"completion_tokens", charge.completion_tokens},
                     {"tokens", charge.tokens},
                     {"outcome", charge.outcome},
                     {"ended_at_unix_ms", charge.ended_at_unix_ms}};
  return json.dump();
}

base::Result<std::vector<Charge>> ParseCharges(const std::string& content) {
  std::vector<Charge> charges;
  std::istringstream lines(content);
  std::string line;
  while (std::getline(lines, line)) {
    try {
      charges.push_back(ParseFields(Json::parse(line)));
    } catch (const Json::exception& error) {
      return base::Error{base::Code::kMalformedMessage,
                         "charge \"" + line + "\": " + error.what()};
    }
  }
  return charges;
}

std::vector<Charge> DeduplicateCharges(const std::vector<Charge>& charges) {
  std::set<std::pair<base::AccountId, base::RequestKey>> seen;
  std::vector<Charge> unique_charges;
  for (const Charge& charge : charges) {
    if (seen.emplace(charge.account, charge.request_key).second)
      unique_charges.push_back(charge);
  }
  return unique_charges;
}

std::map<std::string, Total> SumByBudget(const std::vector<Charge>& charges) {
  std::map<std::string, Total> totals;
  for (const Charge& charge : charges) {
    Total& total = totals[charge.account.value() + "/" + charge.budget];
    ++total.requests;
    total.tokens += charge.tokens;
  }
  return totals;
}

}  // namespace dandelionmill::billing
