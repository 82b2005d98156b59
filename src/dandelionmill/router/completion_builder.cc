#include "dandelionmill/router/completion_builder.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace dandelionmill::router {

CompletionBuilder::CompletionBuilder(bool chat,
                                     base::ModelId model,
                                     base::RequestKey key)
    : chat_(chat), model_(std::move(model)), key_(std::move(key)) {}

void CompletionBuilder::Add(const std::string& chunk) {
  backend::ChunkText part = backend::ParseChunkText(chunk);
  text_ += part.text;
  if (!part.finish_reason.empty())
    finish_reason_ = std::move(part.finish_reason);
}

std::string CompletionBuilder::ToJson(const backend::Usage& usage) const {
  nlohmann::ordered_json choice;
  choice["index"] = 0;
  if (chat_)
    choice["message"] = {{"role", "assistant"}, {"content", text_}};
  else
    choice["text"] = text_;
  choice["finish_reason"] = finish_reason_;
  nlohmann::ordered_json answer;
  answer["id"] = key_.value();
  answer["object"] = chat_ ? "chat.completion" : "text_completion";
  answer["created"] = std::chrono::duration_cast<std::chrono::seconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  answer["model"] = model_.value();
  answer["choices"] = nlohmann::ordered_json::array({choice});
  answer["usage"] = {{"prompt_tokens", usage.prompt},
                     {"completion_tokens", usage.completion},
                     {"total_tokens", usage.prompt + usage.completion}};
  return answer.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace dandelionmill::router
