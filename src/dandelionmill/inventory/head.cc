#include "dandelionmill/inventory/head.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::inventory {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxHeadBytes = 1 << 20;
constexpr std::size_t kSha256Digits = 64;

bool IsDigestMap(const Json& json) {
  if (!json.is_object() || json.empty() || json.size() > kMaxParts)
    return false;
  for (const Json& digest : json) {
    if (!digest.is_string() ||
        digest.get_ref<const std::string&>().size() != kSha256Digits)
      return false;
  }
  return true;
}

std::string TextAt(const Json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

}  // namespace

base::Result<Head> ParseHead(const std::string& json) {
  if (json.size() > kMaxHeadBytes)
    return base::Error{base::Code::kBadInventory,
                       "configuration head too long"};
  const Json parsed = Json::parse(json, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("version") ||
      !parsed["version"].is_number_unsigned() || !parsed.contains("parts") ||
      !IsDigestMap(parsed["parts"]))
    return base::Error{base::Code::kBadInventory,
                       "configuration head without version or parts"};
  Head head;
  head.version = parsed["version"].get<base::ConfigVersion>();
  head.parts = parsed["parts"].get<std::map<std::string, std::string>>();
  head.author = TextAt(parsed, "author");
  head.summary = TextAt(parsed, "summary");
  head.change_id = TextAt(parsed, "change_id");
  const auto at = parsed.find("at_unix_ms");
  if (at != parsed.end() && at->is_number_integer())
    head.at_unix_ms = at->get<std::int64_t>();
  return head;
}

std::string ToJson(const Head& head) {
  return Json{{"version", head.version},       {"parts", head.parts},
              {"author", head.author},         {"summary", head.summary},
              {"at_unix_ms", head.at_unix_ms}, {"change_id", head.change_id}}
      .dump();
}

std::string HistoryKey(base::ConfigVersion version) {
  char digits[32];
  std::snprintf(digits, sizeof(digits), "%012llu",
                static_cast<unsigned long long>(version));
  return std::string("config/history/") + digits;
}

std::string PartObjectName(const std::string& sha256) {
  return "config/parts/" + sha256;
}

std::map<std::string, std::string> DigestsOf(const Parts& parts) {
  std::map<std::string, std::string> digests;
  for (const auto& [name, text] : parts)
    digests[name] = base::Sha256Hex(text);
  return digests;
}

}  // namespace dandelionmill::inventory
