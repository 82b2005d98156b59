#ifndef SRC_DANDELIONMILL_GATEWAY_REQUEST_METADATA_H_
#define SRC_DANDELIONMILL_GATEWAY_REQUEST_METADATA_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// One part of a prompt. Requests with the same leading parts share their cached
// tokens.
struct PromptPart {
  std::string id;
  base::Tokens tokens = 0;
};

// Token counts and prompt parts that a caller declares for a request to a model
// engine.
struct ModelRequest {
  std::string model;
  // Tokens of the prompt.
  base::Tokens prompt_tokens = 0;
  base::Tokens max_output_tokens = 0;
  // In the order of the prompt. The last part belongs to this request or
  // session only.
  std::vector<PromptPart> parts;

  // Largest number of tokens that the request can use.
  base::Tokens MaxTokens() const { return prompt_tokens + max_output_tokens; }
};

// Metadata of a request, decoded from the caller's header fields.
struct RequestMetadata {
  // Identifies this attempt of the caller; each retry has another id.
  base::AttemptId attempt;
  std::string host;
  // Empty if there is none.
  std::string api_key;
  // How long the caller will wait; not set if not declared.
  std::optional<std::chrono::milliseconds> remaining_time;
  // Set if the request has a token count.
  std::optional<ModelRequest> model;
  // The event after which the caller resumes a stream; empty otherwise.
  std::string last_event_id;
  // The caller's attempt that received the first event of the resumed stream;
  // empty if not named.
  base::AttemptId resumed_attempt;
};

// Metadata of a response, decoded from the backend server's header fields.
struct ResponseMetadata {
  // The request that it responds to; empty if not reported.
  base::AttemptId attempt;
  // The backend server reports that it did not run the request.
  bool not_executed = false;
  // The response is from another backend server than expected at this address.
  bool is_other_backend = false;
  // The response has a signature, which proves that the request ran.
  bool has_signature = false;
  struct Load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    // How long work takes on the machine at this moment, in percent of the
    // usual time; reported only where machines are shared.
    std::optional<double> work_time_percent;
  };
  std::optional<Load> load;
  // The beginning of a load report that cannot be read, for logs; empty
  // otherwise.
  std::string malformed_load;
  // Requests per second that the backend server accepts from the whole fleet
  // while it names a limit; not set otherwise.
  std::optional<double> requests_per_s;
  // The backend server fails if it has to reject more requests than this in a
  // second for want of room; not set if it does not say so.
  std::optional<double> max_rejections_per_s;
  // How long the backend server stays cold, that is, takes only few requests;
  // 0 if it is warm, not set if it does not say so.
  std::optional<std::chrono::milliseconds> remaining_warm_up;
  // The backend server leaves and takes no new requests.
  bool is_leaving = false;
  // How long the backend server, which has turned the request away, wants no
  // further requests from this instance; not set if it does not ask for that.
  std::optional<std::chrono::milliseconds> pause;
  // The value of a pause that cannot be read, for logs; empty otherwise.
  std::string malformed_pause;
  // How long the connection may stay idle; not set if not reported.
  std::optional<std::chrono::milliseconds> idle_timeout;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_REQUEST_METADATA_H_
