#ifndef SRC_DANDELIONMILL_ROUTER_REQUEST_EVENTS_H_
#define SRC_DANDELIONMILL_ROUTER_REQUEST_EVENTS_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "dandelionmill/backend/chunk.h"
#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/router/mailbox.h"
#include "dandelionmill/routing/dispatcher.h"
#include "dandelionmill/wire/budget.pb.h"

namespace dandelionmill::router {

// Everything that the router actor needs to know of a caller's request.
struct RequestInfo {
  routing::Request request;
  std::string budget;
  base::RequestKey key;
  bool key_from_caller = false;
  // Digest of all that a retry with the same key must repeat.
  std::string content_sha256;
  // Upper bound of the prompt and limit of the output, in tokens.
  base::Tokens prompt_bound = 0;
  base::Tokens output_cap = 0;
  inventory::AccountLimits limits;
};

// What callers' fibers tell the router actor.

// A caller's request has been checked and wants to run.
struct BeginRequest {
  std::shared_ptr<const RequestInfo> info;
  std::shared_ptr<Mailbox> mailbox;
};

// The engine has reported the true number of prompt tokens.
struct PromptCounted {
  routing::RequestNumber number = 0;
  base::Tokens prompt_tokens = 0;
};

// An attempt on a backend server ended.
struct AttemptEnded {
  routing::RequestNumber number = 0;
  routing::Ending ending = routing::Ending::kBroken;
  // Whether the caller has part of the answer already.
  bool answer_begun = false;
  // Of this attempt; what the outcome says about it.
  backend::Usage usage;
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
};

// The caller closed its connection.
struct CallerLeft {
  routing::RequestNumber number = 0;
};

using RequestEvent =
    std::variant<BeginRequest, PromptCounted, AttemptEnded, CallerLeft>;

// Posts an event to the router actor. Safe from any thread.
using PostEvent = std::function<void(RequestEvent)>;

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_REQUEST_EVENTS_H_
