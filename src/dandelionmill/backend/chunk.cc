#include "dandelionmill/backend/chunk.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace dandelionmill::backend {
namespace {

constexpr std::string_view kTokensKey = "\"tokens\":";
constexpr std::string_view kUsageKey = "\"usage\":";
constexpr std::string_view kUsageObject = "\"object\":\"usage\"";

base::Tokens GetInteger(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_integer())
    return 0;
  return found->get<base::Tokens>();
}

std::string GetString(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string())
    return "";
  return found->get<std::string>();
}

Usage ParseUsage(const nlohmann::json& object) {
  return {GetInteger(object, "prompt_tokens"),
          GetInteger(object, "completion_tokens")};
}

base::Tokens ScanTokens(std::string_view data) {
  const std::size_t key = data.rfind(kTokensKey);
  if (key == std::string_view::npos)
    return 0;
  std::size_t start = key + kTokensKey.size();
  while (start < data.size() && data[start] == ' ')
    ++start;
  base::Tokens tokens = 0;
  std::from_chars(data.data() + start, data.data() + data.size(), tokens);
  return tokens;
}

}  // namespace

ChunkInfo ParseChunk(std::string_view data) {
  ChunkInfo info;
  if (data == "[DONE]") {
    info.done = true;
    return info;
  }
  const bool usage_only = data.find(kUsageObject) != std::string_view::npos;
  info.tokens = ScanTokens(data);
  if (!usage_only && data.find(kUsageKey) == std::string_view::npos)
    return info;
  const auto json = nlohmann::json::parse(data, nullptr, false);
  if (!json.is_object())
    return info;
  info.usage_only = usage_only;
  const auto usage = json.find("usage");
  if (usage_only)
    info.usage = ParseUsage(json);
  else if (usage != json.end() && usage->is_object())
    info.usage = ParseUsage(*usage);
  return info;
}

ChunkText ParseChunkText(const std::string& data) {
  ChunkText chunk;
  const auto json = nlohmann::json::parse(data, nullptr, false);
  if (!json.is_object() || !json.contains("choices") ||
      !json["choices"].is_array() || json["choices"].empty())
    return chunk;
  const auto& choice = json["choices"][0];
  if (!choice.is_object())
    return chunk;
  chunk.text = GetString(choice, "text");
  if (choice.contains("delta") && choice["delta"].is_object())
    chunk.text = GetString(choice["delta"], "content");
  chunk.finish_reason = GetString(choice, "finish_reason");
  return chunk;
}

}  // namespace dandelionmill::backend
