#include "dandelionmill/router/caller_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using base::Error;
using nlohmann::json;

constexpr std::size_t kBlockBytes = 256;
constexpr std::size_t kMaxBlocks = 1024;
constexpr std::size_t kBlockHashDigits = 16;
constexpr int kMaxNesting = 64;

// Fields that an engine never turns into prompt tokens.
const std::set<std::string>& NonPromptFields() {
  static const std::set<std::string> fields = {"model",
                                               "adapter",
                                               "stream",
                                               "max_tokens",
                                               "temperature",
                                               "top_p",
                                               "n",
                                               "seed",
                                               "stop",
                                               "user",
                                               "presence_penalty",
                                               "frequency_penalty",
                                               "stream_options",
                                               "max_completion_tokens",
                                               "x_tokens"};
  return fields;
}

// The text of a prompt and the byte count that bounds its tokens.
struct Prompt {
  std::string text;
  std::size_t bytes = 0;
};

Error Malformed(const std::string& detail) {
  return {Code::kMalformedRequest, detail};
}

// Whether arrays and objects in `text` are nested deeper than `limit`. Checked
// before parsing, as deep nesting can overflow the stack of a recursive parser.
bool NestsDeeperThan(std::string_view text, int limit) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > limit)
        return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

base::Result<Prompt> ReadMessages(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty())
    return Malformed("\"messages\" must be a list that is not empty");
  Prompt prompt;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content"))
      return Malformed("each message must be an object with \"content\"");
    const json& content = message["content"];
    if (content.is_string()) {
      prompt.text += content.get_ref<const std::string&>();
      prompt.bytes += content.get_ref<const std::string&>().size();
    } else {
      prompt.bytes += content.dump().size();
    }
  }
  return prompt;
}

base::Result<Prompt> ReadPrompt(const json& body) {
  const auto text = body.find("prompt");
  if (text == body.end() || !text->is_string())
    return Malformed("\"prompt\" must be a text");
  Prompt prompt;
  prompt.text = text->get<std::string>();
  prompt.bytes = prompt.text.size();
  return prompt;
}

// Bytes of fields that an engine may turn into prompt tokens, such as tools.
std::size_t AdditionalPromptBytes(const json& body) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : body.items()) {
    if (name == "messages" || name == "prompt" || NonPromptFields().count(name))
      continue;
    bytes += value.dump().size();
  }
  return bytes;
}

base::Result<base::Tokens> ReadOutputCap(const json& body,
                                         base::Tokens max_cap) {
  base::Tokens cap = max_cap;
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto requested = body.find(name);
    if (requested == body.end() || requested->is_null())
      continue;
    if (!requested->is_number_integer() || requested->get<base::Tokens>() < 1)
      return Malformed(std::string("\"") + name +
                       "\" must be a whole number of at least 1");
    cap = std::min(cap, requested->get<base::Tokens>());
  }
  return cap;
}

// Only one answer is allowed: several would exceed the token reservation.
base::Status CheckSingleAnswer(const json& body) {
  for (const char* name : {"n", "best_of"}) {
    const auto count = body.find(name);
    if (count != body.end() && *count != 1)
      return Malformed(std::string("\"") + name + "\" must be 1");
  }
  return base::Unit{};
}

base::Result<std::string> ReadString(const json& body, const char* name) {
  const auto value = body.find(name);
  if (value == body.end())
    return std::string();
  if (!value->is_string())
    return Malformed(std::string("\"") + name + "\" must be a text");
  return value->get<std::string>();
}

base::Result<bool> ReadStream(const json& body) {
  const auto stream = body.find("stream");
  if (stream == body.end())
    return false;
  if (!stream->is_boolean())
    return Malformed("\"stream\" must be true or false");
  return stream->get<bool>();
}

}  // namespace

base::Result<ModelRequest> ReadModelRequest(const std::string& text,
                                            bool chat,
                                            const inventory::Snapshot& config) {
  if (NestsDeeperThan(text, kMaxNesting))
    return Malformed("the body is nested too deeply");
  json body = json::parse(text, nullptr, false);
  if (!body.is_object())
    return Malformed("the body must be a JSON object");
  const base::Result<std::string> model = ReadString(body, "model");
  const base::Result<std::string> adapter = ReadString(body, "adapter");
  const base::Result<bool> stream = ReadStream(body);
  const base::Status single = CheckSingleAnswer(body);
  const base::Result<Prompt> prompt =
      chat ? ReadMessages(body) : ReadPrompt(body);
  if (!base::IsOk(model))
    return base::ErrorOf(model);
  if (!base::IsOk(adapter))
    return base::ErrorOf(adapter);
  if (!base::IsOk(stream))
    return base::ErrorOf(stream);
  if (!base::IsOk(single))
    return base::ErrorOf(single);
  if (!base::IsOk(prompt))
    return base::ErrorOf(prompt);

  ModelRequest request;
  request.model = base::ModelId(base::ValueOf(model));
  request.adapter = base::ValueOf(adapter);
  request.stream = base::ValueOf(stream);
  request.service = config.FindServiceOfModel(request.model);
  if (request.service == nullptr)
    return Error{Code::kUnknownModel, "no service offers model \"" +
                                          request.model.value().substr(0, 64) +
                                          "\""};
  const inventory::Model& offered =
      *inventory::Snapshot::FindModel(*request.service, request.model);
  const base::Result<base::Tokens> cap =
      ReadOutputCap(body, offered.max_output_tokens);
  if (!base::IsOk(cap))
    return base::ErrorOf(cap);
  request.output_cap = base::ValueOf(cap);
  request.prompt_bound =
      static_cast<base::Tokens>(base::ValueOf(prompt).bytes +
                                AdditionalPromptBytes(body)) +
      offered.template_tokens;
  request.prefix_blocks = PrefixBlocks(base::ValueOf(prompt).text);
  body["stream"] = true;
  body["max_tokens"] = request.output_cap;
  body.erase("max_completion_tokens");
  request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

std::vector<std::string> PrefixBlocks(std::string_view prompt) {
  std::vector<std::string> blocks;
  std::string previous;
  while (prompt.size() >= kBlockBytes && blocks.size() < kMaxBlocks) {
    std::string chained = previous;
    chained.append(prompt.substr(0, kBlockBytes));
    previous = base::Sha256Hex(chained).substr(0, kBlockHashDigits);
    blocks.push_back(previous);
    prompt.remove_prefix(kBlockBytes);
  }
  return blocks;
}

bool IsNonIdempotentPath(const inventory::Service& service,
                         const std::string& path) {
  return std::any_of(service.non_idempotent_paths.begin(),
                     service.non_idempotent_paths.end(),
                     [&](const std::string& prefix) {
                       return path.compare(0, prefix.size(), prefix) == 0;
                     });
}

}  // namespace dandelionmill::router
