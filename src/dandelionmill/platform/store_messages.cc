#include "dandelionmill/platform/store_messages.h"

#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "dandelionmill/base/base64.h"

namespace dandelionmill::platform {
namespace {

using nlohmann::json;
using storage::CallOutcome;
using storage::RowKey;

bool IsUtf8(const std::string& text) {
  try {
    json(text).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

void AppendEscaped(char c, std::string& out) {
  static const char kHexDigits[] = "0123456789ABCDEF";
  const auto byte = static_cast<unsigned char>(c);
  out += '%';
  out += kHexDigits[byte >> 4];
  out += kHexDigits[byte & 0xF];
}

// Returns `name` as JSON can carry it. Keys contain what callers send, such as
// the id of an attempt, which need not be UTF-8.
std::string ToStoreName(const std::string& name) {
  if (IsUtf8(name))
    return name;
  std::string escaped;
  for (const char c : name) {
    if (static_cast<unsigned char>(c) < 0x80)
      escaped += c;
    else
      AppendEscaped(c, escaped);
  }
  return escaped;
}

json EncodeKey(const RowKey& key) {
  return {{"table", key.table},
          {"part", ToStoreName(key.part)},
          {"key", ToStoreName(key.key)}};
}

bool SpansMultipleParts(const storage::RowChange& change) {
  std::optional<std::string> part;
  const auto differs = [&part](const RowKey& key) {
    if (!part)
      part = key.part;
    return *part != key.part;
  };
  bool spans_parts = false;
  for (const auto& item : change.expected)
    spans_parts |= differs(item.key);
  for (const auto& item : change.puts)
    spans_parts |= differs(item.key);
  for (const auto& item : change.deletes)
    spans_parts |= differs(item);
  return spans_parts;
}

std::string PercentEncode(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~')
      escaped += c;
    else
      AppendEscaped(c, escaped);
  }
  return escaped;
}

// Returns nullopt when `item` is not an object, a key field or the value has
// the wrong type, or the value is not valid Base64.
std::optional<storage::VersionedRow> DecodeRow(const json& item) {
  if (!item.is_object())
    return std::nullopt;
  storage::VersionedRow row;
  for (const auto& [name, target] :
       {std::pair<const char*, std::string*>{"table", &row.key.table},
        {"part", &row.key.part},
        {"key", &row.key.key}}) {
    if (!item.contains(name))
      continue;
    if (!item[name].is_string())
      return std::nullopt;
    *target = item[name].get<std::string>();
  }
  if (item.contains("rowVersion") && item["rowVersion"].is_number_unsigned())
    row.version = item["rowVersion"].get<std::uint64_t>();
  row.deleted = item.contains("tombstone") && item["tombstone"].is_boolean() &&
                item["tombstone"].get<bool>();
  if (!row.deleted && item.contains("value")) {
    if (!item["value"].is_string())
      return std::nullopt;
    auto value = base::DecodeBase64(item["value"].get<std::string>());
    if (!value)
      return std::nullopt;
    row.value = *std::move(value);
  }
  return row;
}

CallOutcome ToOutcome(int status) {
  switch (status) {
    case 200:
      return CallOutcome::kDone;
    case 412:
      return CallOutcome::kConflict;
    case 410:
      return CallOutcome::kHistoryGone;
    case 400:
    case 403:
    case 404:
    case 413:
    case 429:
    case 503:
    case 507:
      return CallOutcome::kNotPerformed;
    default:
      return CallOutcome::kUnknown;
  }
}

}  // namespace

const char kCommitTarget[] = "/api/rows-tx";
const char kStoreEraField[] = "Store-Era";

std::optional<std::uint64_t> DecodeStoreEra(const std::string& value) {
  std::uint64_t era = 0;
  const char* const end = value.data() + value.size();
  const auto [parsed_to, error] = std::from_chars(value.data(), end, era);
  if (error != std::errc() || parsed_to != end)
    return std::nullopt;
  return era;
}

std::string EncodeChange(const storage::RowChange& change) {
  json body = {{"expectedRevision", json::array()},
               {"put", json::array()},
               {"remove", json::array()}};
  for (const auto& item : change.expected) {
    json entry = EncodeKey(item.key);
    entry["rowVersion"] = item.version;
    body["expectedRevision"].push_back(std::move(entry));
  }
  for (const auto& item : change.puts) {
    json entry = EncodeKey(item.key);
    entry["value"] = base::EncodeBase64(item.value);
    body["put"].push_back(std::move(entry));
  }
  for (const auto& item : change.deletes)
    body["remove"].push_back(EncodeKey(item));
  if (SpansMultipleParts(change))
    body["across"] = true;
  return body.dump();
}

std::string ReadTarget(const std::string& table,
                       const std::string& part,
                       const std::string& from_key) {
  std::string target = "/api/rows-get?table=" + PercentEncode(table) +
                       "&part=" + PercentEncode(ToStoreName(part));
  if (!from_key.empty())
    target += "&from=" + PercentEncode(ToStoreName(from_key));
  return target;
}

std::string ReadRowTarget(const RowKey& key) {
  return ReadTarget(key.table, key.part, key.key) + "&limit=1";
}

std::string FollowTarget(const std::string& table,
                         std::uint64_t version,
                         std::chrono::milliseconds wait) {
  return "/api/rows-feed?table=" + PercentEncode(table) +
         "&afterRevision=" + std::to_string(version) +
         "&waitMs=" + std::to_string(wait.count());
}

storage::TableResponse DecodeStoreResponse(int status,
                                           const std::string& text) {
  storage::TableResponse answer;
  answer.outcome = ToOutcome(status);
  if (answer.outcome != CallOutcome::kDone)
    answer.detail = "status " + std::to_string(status);
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    if (answer.outcome == CallOutcome::kDone ||
        answer.outcome == CallOutcome::kConflict) {
      answer.outcome = CallOutcome::kUnknown;
      answer.detail = "the store's answer is not a JSON object";
    }
    return answer;
  }
  if (body.contains("rowVersion") && body["rowVersion"].is_number_unsigned())
    answer.version = body["rowVersion"].get<std::uint64_t>();
  if (body.contains("nowMs") && body["nowMs"].is_number()) {
    answer.store_time = std::chrono::milliseconds(
        static_cast<std::int64_t>(body["nowMs"].get<double>()));
  }
  answer.has_more = body.contains("morePages") &&
                    body["morePages"].is_boolean() &&
                    body["morePages"].get<bool>();
  if (body.contains("rows") && body["rows"].is_array()) {
    for (const json& item : body["rows"]) {
      if (auto row = DecodeRow(item))
        answer.rows.push_back(*std::move(row));
      else
        ++answer.malformed_rows;
    }
  }
  return answer;
}

}  // namespace dandelionmill::platform
