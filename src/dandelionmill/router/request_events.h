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

// The data of a caller's request that the router actor needs.
struct RequestInfo {
  routing::Request request;
  std::string budget;
  base::RequestKey key;
  bool key_from_caller = false;
  // SHA-256 of the content that a retry with the same key must repeat.
  std::string content_sha256;
  // Upper bounds of the prompt and of the output, in tokens.
  base::Tokens prompt_bound = 0;
  base::Tokens output_cap = 0;
  inventory::AccountLimits limits;
};

// Events that the callers' fibers send to the router actor.

// A validated request is to be run.
struct BeginRequest {
  std::shared_ptr<const RequestInfo> info;
  std::shared_ptr<Mailbox> mailbox;
};

// The engine has reported the actual number of prompt tokens.
struct PromptCounted {
  routing::RequestNumber number = 0;
  base::Tokens prompt_tokens = 0;
};

// An attempt on a backend server has ended.
struct AttemptEnded {
  routing::RequestNumber number = 0;
  routing::AttemptResult ending = routing::AttemptResult::kConnectionLost;
  // Whether part of the answer was delivered to the caller.
  bool answer_started = false;
  // Tokens used by this attempt, to be interpreted according to `outcome`.
  backend::Usage usage;
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
};

// The caller closed its connection.
struct CallerDisconnected {
  routing::RequestNumber number = 0;
};

using RequestEvent =
    std::variant<BeginRequest, PromptCounted, AttemptEnded, CallerDisconnected>;

// Posts an event to the router actor. Thread-safe.
using PostEvent = std::function<void(RequestEvent)>;

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_REQUEST_EVENTS_H_
