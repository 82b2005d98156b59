#include "standins/backend/model_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "dandelionmill/base/digest.h"

namespace standins::backend {
namespace {

using dandelionmill::base::Code;
using dandelionmill::base::Error;
using Json = nlohmann::json;

constexpr std::uint64_t kTokenHashStep = 2654435761;
constexpr std::uint64_t kVocabularySize = 46656;  // three base-36 digits
constexpr int kTemplateTokens = 4;
constexpr int kBytesPerToken = 4;
constexpr int kMinDefaultOutputTokens = 8;
constexpr std::uint64_t kDefaultOutputTokenRange = 57;
constexpr std::size_t kBlockHashDigits = 16;

std::string ToBase36(std::uint64_t value) {
  static const char kDigits[] = "0123456789abcdefghijklmnopqrstuvwxyz";
  std::string text;
  do {
    text.insert(text.begin(), kDigits[value % 36]);
    value /= 36;
  } while (value != 0);
  return text;
}

std::string ContentText(const Json& content) {
  if (content.is_string())
    return content.get<std::string>();
  std::string text;
  if (content.is_array()) {
    for (const Json& part : content)
      text += part.value("text", "");
  }
  return text;
}

ModelCall ParseFields(const Json& json) {
  ModelCall call;
  call.model = json.at("model").get<std::string>();
  call.is_chat = json.contains("messages");
  if (call.is_chat) {
    for (const Json& message : json.at("messages"))
      call.prompt += ContentText(message.at("content"));
  } else {
    call.prompt = json.at("prompt").get<std::string>();
  }
  call.hash = dandelionmill::base::StableHash(call.prompt);
  const auto bytes = static_cast<int>(call.prompt.size());
  call.prompt_tokens =
      (bytes + kBytesPerToken - 1) / kBytesPerToken + kTemplateTokens;
  const int uncapped = json.value(
      "x_tokens", kMinDefaultOutputTokens +
                      static_cast<int>(call.hash % kDefaultOutputTokenRange));
  const int limit = json.value("max_tokens", uncapped);
  call.output_tokens = std::max(1, std::min(limit, uncapped));
  call.is_capped = limit < uncapped;
  return call;
}

}  // namespace

dandelionmill::base::Result<ModelCall> ParseModelCall(const std::string& body) {
  try {
    return ParseFields(Json::parse(body));
  } catch (const Json::exception& problem) {
    return Error{Code::kMalformedRequest, problem.what()};
  }
}

std::string TokenText(const ModelCall& call, int index) {
  const std::uint64_t word =
      (call.hash + static_cast<std::uint64_t>(index) * kTokenHashStep) %
      kVocabularySize;
  return "w" + ToBase36(word) + " ";
}

std::string AnswerText(const ModelCall& call, int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i)
    text += TokenText(call, i);
  return text;
}

std::string AnswerText(const ModelCall& call) {
  return AnswerText(call, call.output_tokens);
}

std::vector<std::string> PrefixBlocks(const std::string& prompt) {
  std::vector<std::string> blocks;
  std::string previous;
  for (std::size_t offset = 0; offset + kBlockBytes <= prompt.size();
       offset += kBlockBytes) {
    previous = dandelionmill::base::Sha256Hex(
                   previous + prompt.substr(offset, kBlockBytes))
                   .substr(0, kBlockHashDigits);
    blocks.push_back(previous);
  }
  return blocks;
}

}  // namespace standins::backend
