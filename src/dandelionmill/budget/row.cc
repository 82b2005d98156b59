#include "dandelionmill/budget/row.h"

#include <nlohmann/json.hpp>

namespace dandelionmill::budget {
namespace {

using Json = nlohmann::json;

Json TokensToJson(
    const std::map<base::RouterId, base::Tokens>& tokens_by_router) {
  Json json = Json::object();
  for (const auto& [router, tokens] : tokens_by_router)
    json[router.value()] = tokens;
  return json;
}

std::map<base::RouterId, base::Tokens> ParseTokens(const Json& json) {
  std::map<base::RouterId, base::Tokens> tokens_by_router;
  for (const auto& [router, tokens] : json.items())
    tokens_by_router[base::RouterId(router)] = tokens.get<base::Tokens>();
  return tokens_by_router;
}

Json TakenOverToJson(
    const std::map<base::HolderId, std::map<base::RouterId, base::Tokens>>&
        took) {
  Json json = Json::object();
  for (const auto& [holder, settled] : took)
    json[holder.value()] = TokensToJson(settled);
  return json;
}

Json LeaseToJson(const Lease& lease) {
  return {
      {"drawn", lease.drawn},       {"settled", lease.settled},
      {"sequence", lease.sequence}, {"routers", TokensToJson(lease.ceilings)},
      {"retired", lease.retired},   {"took", TakenOverToJson(lease.took)}};
}

Lease ParseLease(const Json& json) {
  Lease lease;
  lease.drawn = json.at("drawn").get<base::Tokens>();
  lease.settled = json.at("settled").get<base::Tokens>();
  lease.sequence = json.at("sequence").get<std::uint64_t>();
  lease.ceilings = ParseTokens(json.at("routers"));
  lease.retired = json.at("retired").get<base::Tokens>();
  const Json took = json.value("took", Json::object());
  for (const auto& [holder, settled] : took.items())
    lease.took[base::HolderId(holder)] = ParseTokens(settled);
  return lease;
}

LostHolder ParseLostHolder(const Json& json) {
  return {json.at("written_off").get<base::Tokens>(),
          ParseTokens(json.at("routers"))};
}

Row ParseFields(const Json& json) {
  Row row;
  row.granted = json.at("granted").get<base::Tokens>();
  row.settled = json.value("settled", base::Tokens{0});
  row.written_off = json.value("written_off", base::Tokens{0});
  const Json leases = json.value("leases", Json::object());
  for (const auto& [holder, lease] : leases.items())
    row.leases[base::HolderId(holder)] = ParseLease(lease);
  const Json lost_holders = json.value("lost", Json::object());
  for (const auto& [holder, lost] : lost_holders.items())
    row.lost[base::HolderId(holder)] = ParseLostHolder(lost);
  return row;
}

}  // namespace

std::string RowKey(const BudgetKey& key) {
  return "budget/" + key.account.value() + "/" + key.name;
}

base::Result<Row> ParseRow(const std::string& text) {
  try {
    return ParseFields(Json::parse(text));
  } catch (const Json::exception& error) {
    return base::Error{base::Code::kMalformedMessage,
                       std::string("malformed budget row: ") + error.what()};
  }
}

std::string ToJson(const Row& row) {
  Json json = {{"granted", row.granted},
               {"settled", row.settled},
               {"written_off", row.written_off},
               {"leases", Json::object()}};
  for (const auto& [holder, lease] : row.leases)
    json["leases"][holder.value()] = LeaseToJson(lease);
  for (const auto& [holder, lost] : row.lost) {
    json["lost"][holder.value()] = {{"written_off", lost.written_off},
                                    {"routers", TokensToJson(lost.ceilings)}};
  }
  return json.dump();
}

base::Tokens Outstanding(const Row& row) {
  base::Tokens total = 0;
  for (const auto& [holder, lease] : row.leases)
    total += lease.outstanding();
  return total;
}

base::Tokens MinimumGranted(const Row& row) {
  return row.settled + Outstanding(row) + row.written_off;
}

base::Tokens Free(const Row& row) {
  return row.granted - MinimumGranted(row);
}

base::Result<Row> ApplyGranted(Row row, base::Tokens granted) {
  const base::Tokens minimum = MinimumGranted(row);
  if (granted < minimum) {
    return base::Error{base::Code::kBudgetFloor,
                       "granted " + std::to_string(granted) +
                           " is below the floor of " + std::to_string(minimum) +
                           " tokens that are settled, leased or written off"};
  }
  row.granted = granted;
  return row;
}

}  // namespace dandelionmill::budget
