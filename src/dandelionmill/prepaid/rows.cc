#include "dandelionmill/prepaid/rows.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "dandelionmill/base/json_numbers.h"

namespace dandelionmill::prepaid {
namespace {

using nlohmann::json;

// Allows for a 2 % difference in rate between two steady clocks.
constexpr double kClockDriftFactor = 1.02;

base::Error MalformedRow(const std::string& detail) {
  return {base::Code::kMalformedMessage, "prepaid row: " + detail};
}

// Thrown by the readers of fields; the decoders convert it to an Error.
struct DecodeError {
  std::string detail;
};

const json& RequireField(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end())
    throw DecodeError{std::string("field \"") + name + "\" is missing"};
  return *found;
}

base::Tokens ToCount(const json& value,
                     const std::string& name,
                     std::int64_t min = 0) {
  const auto count = base::ToJsonInteger(value, min);
  if (!count) {
    throw DecodeError{"field \"" + name + "\" is no integer from " +
                      std::to_string(min) + " to " +
                      std::to_string(base::kMaxJsonInteger)};
  }
  return *count;
}

double ToRate(const json& value, const std::string& name) {
  const double rate = value.is_number() ? value.get<double>() : -1;
  if (rate < 0 || rate > static_cast<double>(base::kMaxJsonInteger))
    throw DecodeError{"field \"" + name + "\" is no rate"};
  return rate;
}

base::Tokens ReadCount(const json& object, const char* name) {
  return ToCount(RequireField(object, name), name);
}

base::Tokens ReadCountOr0(const json& object, const char* name) {
  return object.contains(name) ? ToCount(object[name], name) : 0;
}

std::uint64_t Unsigned(std::int64_t count) {
  return static_cast<std::uint64_t>(count);
}

std::string ReadText(const json& value, const std::string& name) {
  if (!value.is_string())
    throw DecodeError{"field \"" + name + "\" is no text"};
  return value.get<std::string>();
}

const json& RequireList(const json& value, const std::string& name) {
  if (!value.is_array())
    throw DecodeError{"field \"" + name + "\" is no list"};
  return value;
}

const json& RequireObject(const json& value, const std::string& name) {
  if (!value.is_object())
    throw DecodeError{"field \"" + name + "\" is no object"};
  return value;
}

// Returns the list of at least three values; later ones are ignored.
const json& RequireTriple(const json& value, const std::string& name) {
  if (RequireList(value, name).size() < 3)
    throw DecodeError{"field \"" + name + "\" has fewer than 3 values"};
  return value;
}

std::map<std::string, Contribution> ReadContributions(const json& object) {
  std::map<std::string, Contribution> contributions;
  for (const auto& [process, value] :
       RequireObject(object, "contributions").items()) {
    const json& triple = RequireTriple(value, process);
    contributions[process] = {
        ToCount(triple[0], process, -base::kMaxJsonInteger),
        Unsigned(ToCount(triple[1], process)),
        std::chrono::milliseconds(ToCount(triple[2], process))};
  }
  return contributions;
}

std::map<std::string, std::string> ReadUnknownFields(const json& object) {
  static const std::set<std::string> kKnown = {
      "drawn",           "era",         "completed_era",
      "written_off_era", "written_off", "contributions"};
  std::map<std::string, std::string> fields;
  for (const auto& [name, value] : object.items()) {
    if (kKnown.count(name) == 0)
      fields[name] = value.dump();
  }
  return fields;
}

std::map<base::AccountId, HolderShare> ReadShares(const json& object) {
  std::map<base::AccountId, HolderShare> shares;
  for (const auto& [account, value] : RequireObject(object, "shares").items()) {
    const json& triple = RequireTriple(value, account);
    shares[base::AccountId(account)] = {ToCount(triple[0], account),
                                        ToCount(triple[1], account),
                                        ToRate(triple[2], account)};
  }
  return shares;
}

// Returns the tokens that a process may have used by `since_expiry` after its
// row expired.
base::Tokens MaxUse(const HolderShare& share,
                    std::chrono::milliseconds since_expiry) {
  return share.committed + static_cast<base::Tokens>(std::ceil(UseAfterExpiry(
                               share, kClockDriftFactor * since_expiry)));
}

}  // namespace

double UseAfterExpiry(const HolderShare& share,
                      std::chrono::duration<double> since_expiry) {
  using Seconds = std::chrono::duration<double>;
  const double seconds = std::max(0.0, since_expiry.count());
  const double late_seconds =
      std::clamp((since_expiry - Seconds(kLateUseAfter)).count(), 0.0,
                 Seconds(kLateUseTime).count());
  return share.rate_per_s * (seconds + (kLateRateFactor - 1) * late_seconds);
}

std::string Encode(const AccountRow& row) {
  json contributions = json::object();
  for (const auto& [process, contribution] : row.contributions) {
    contributions[process] = {contribution.moved, contribution.sequence,
                              contribution.as_of.count()};
  }
  json object = {{"drawn", row.drawn},
                 {"era", row.era},
                 {"completed_era", row.completed_era},
                 {"written_off_era", row.written_off_era},
                 {"written_off", row.written_off},
                 {"contributions", std::move(contributions)}};
  for (const auto& [name, text] : row.unknown_fields)
    object.emplace(name, json::parse(text, nullptr, false));
  return object.dump();
}

std::string Encode(const HolderRow& row) {
  json shares = json::object();
  for (const auto& [account, share] : row.shares) {
    shares[account.value()] = {share.drawn, share.committed,
                               std::llround(share.rate_per_s)};
  }
  json unsettled = json::array();
  for (const base::AccountId& account : row.unsettled)
    unsettled.push_back(account.value());
  return json{{"process", row.process},
              {"sequence", row.sequence},
              {"era", row.era},
              {"as_of_ms", row.as_of.count()},
              {"quiet_ms", row.validity.count()},
              {"shares", std::move(shares)},
              {"unsettled", std::move(unsettled)}}
      .dump();
}

base::Result<AccountRow> DecodeAccountRow(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return MalformedRow("not a JSON object");
  try {
    AccountRow row;
    row.drawn = ReadCount(object, "drawn");
    // Earlier versions of this program wrote none of these.
    row.era = Unsigned(ReadCountOr0(object, "era"));
    row.completed_era = Unsigned(ReadCountOr0(object, "completed_era"));
    row.written_off_era = Unsigned(ReadCountOr0(object, "written_off_era"));
    row.written_off = ReadCountOr0(object, "written_off");
    if (object.contains("contributions"))
      row.contributions = ReadContributions(object["contributions"]);
    row.unknown_fields = ReadUnknownFields(object);
    return row;
  } catch (const DecodeError& error) {
    return MalformedRow(error.detail);
  }
}

base::Result<HolderRow> DecodeHolderRow(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return MalformedRow("not a JSON object");
  try {
    HolderRow row;
    row.process = ReadText(RequireField(object, "process"), "process");
    row.sequence = Unsigned(ReadCount(object, "sequence"));
    row.era = Unsigned(ReadCountOr0(object, "era"));
    row.as_of = std::chrono::milliseconds(ReadCount(object, "as_of_ms"));
    row.validity = std::chrono::milliseconds(ReadCount(object, "quiet_ms"));
    row.shares = ReadShares(RequireField(object, "shares"));
    if (object.contains("unsettled")) {
      for (const json& name : RequireList(object["unsettled"], "unsettled"))
        row.unsettled.insert(base::AccountId(ReadText(name, "unsettled")));
    }
    return row;
  } catch (const DecodeError& error) {
    return MalformedRow(error.detail);
  }
}

base::Tokens Recoverable(const HolderShare& share,
                         std::chrono::milliseconds since_expiry) {
  return std::max<base::Tokens>(0, share.drawn - MaxUse(share, since_expiry));
}

base::Tokens UnaccountedUse(const HolderShare& share,
                            std::chrono::milliseconds since_expiry) {
  return std::max<base::Tokens>(0, MaxUse(share, since_expiry) - share.drawn);
}

}  // namespace dandelionmill::prepaid
