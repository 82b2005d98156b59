#ifndef SRC_DANDELIONMILL_GATEWAY_REQUEST_TERMS_H_
#define SRC_DANDELIONMILL_GATEWAY_REQUEST_TERMS_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// One part of a prompt; requests that share leading parts share their cached
// tokens.
struct PromptPart {
  std::string id;
  base::Tokens tokens = 0;
};

// What a caller says of a request for a model engine.
struct ModelTerms {
  std::string model;
  // Tokens of the prompt.
  base::Tokens prompt_tokens = 0;
  base::Tokens max_output_tokens = 0;
  // In the order of the prompt; the last is the request's or session's own.
  std::vector<PromptPart> parts;

  // The most that the request can use.
  base::Tokens MaxTokens() const { return prompt_tokens + max_output_tokens; }
};

// What a caller says of a request, decoded from its header fields.
struct RequestTerms {
  // Names this try of the caller's; a retry has another.
  base::AttemptId attempt;
  std::string host;
  // Empty without a key.
  std::string api_key;
  // How long the caller will wait; not set when it does not say.
  std::optional<std::chrono::milliseconds> time_left;
  // Set when tokens are counted.
  std::optional<ModelTerms> model;
  // The caller resumes a stream after this event.
  std::string last_event_id;
};

// What a backend server says in the head of an answer.
struct AnswerTerms {
  // The request that it answers; empty when it does not say.
  base::AttemptId attempt;
  // The backend server states that it did not run the request.
  bool not_executed = false;
  // It is not the backend server that was expected there.
  bool is_other_backend = false;
  // The answer carries the proof of the run.
  bool has_signature = false;
  struct Load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
  };
  std::optional<Load> load;
  // How long the connection may stay idle; not set when it does not say.
  std::optional<std::chrono::milliseconds> idle_timeout;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_REQUEST_TERMS_H_
