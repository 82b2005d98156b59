#ifndef STANDINS_BACKEND_MODEL_CALL_H_
#define STANDINS_BACKEND_MODEL_CALL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dandelionmill/base/result.h"

namespace standins::backend {

// Size of a prefix cache block, in bytes of prompt text and in tokens.
inline constexpr std::size_t kBlockBytes = 256;
inline constexpr int kBlockTokens = 64;

// A call of a model engine. The answer depends only on the request body, so
// that tests can compute the expected answer.
struct ModelCall {
  std::string model;
  // The prompt, or the contents of all messages in order.
  std::string prompt;
  // Stable hash of `prompt`.
  std::uint64_t hash = 0;
  int prompt_tokens = 0;
  int output_tokens = 0;
  bool is_chat = false;
  // Limited by max_tokens: the finish reason is "length" instead of "stop".
  bool is_capped = false;
};

// Parses the body of POST /v1/chat/completions or /v1/completions. Fails with
// kMalformedRequest if the body is not valid JSON, or a required field is
// missing or has the wrong type.
dandelionmill::base::Result<ModelCall> ParseModelCall(const std::string& body);

// Returns the text of output token `index`, counted from 0.
std::string TokenText(const ModelCall& call, int index);

// Returns the text of the first `tokens` output tokens.
std::string AnswerText(const ModelCall& call, int tokens);

// Returns the text of all output tokens.
std::string AnswerText(const ModelCall& call);

// Returns the chained hashes of the prompt's complete blocks, in order.
std::vector<std::string> PrefixBlocks(const std::string& prompt);

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_MODEL_CALL_H_
