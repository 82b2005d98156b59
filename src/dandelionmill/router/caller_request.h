#ifndef SRC_DANDELIONMILL_ROUTER_CALLER_REQUEST_H_
#define SRC_DANDELIONMILL_ROUTER_CALLER_REQUEST_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/inventory.h"

namespace dandelionmill::router {

// The request headers that the router evaluates; empty if absent.
struct CallerHeaders {
  std::string authorization;
  std::string budget;
  std::string idempotency_key;
  std::string deadline_ms;
  std::string idempotent;
  std::string priority;
};

// The authenticated account and the options parsed from a request's headers.
struct RequestParameters {
  base::AccountId account;
  // Relative share of a contended queue.
  int weight = 1;
  inventory::AccountLimits limits;
  std::string budget = "default";
  base::RequestKey key;
  // Whether the caller supplied the key, rather than this router.
  bool key_from_caller = false;
  bool idempotent = true;
  int priority = 5;
  // 0 if the caller sets none.
  std::chrono::milliseconds deadline{0};
};

// Authenticates the caller and parses its headers. Errors: kUnauthorized,
// kBudgetUnknown, kMalformedRequest, kBadDeadline.
base::Result<RequestParameters> ReadHeaderParameters(
    const CallerHeaders& headers,
    const inventory::Snapshot& config);

// A validated model request, ready to be forwarded.
struct ModelRequest {
  const inventory::Service* service = nullptr;
  base::ModelId model;
  std::string adapter;
  // The body to forward: the caller's, with `stream` and `max_tokens` set.
  std::string body;
  // Whether the caller requested a stream.
  bool stream = false;
  // Upper bounds of the prompt and of the output, in tokens.
  base::Tokens prompt_bound = 0;
  base::Tokens output_cap = 0;
  // Chained hashes of the prompt's complete blocks.
  std::vector<std::string> prefix_blocks;
};

// Parses and checks a request body in the common completions JSON format: the
// chat form with "messages" if `chat` is set, otherwise the form with "prompt".
// Errors: kMalformedRequest, kUnknownModel.
base::Result<ModelRequest> ReadModelRequest(const std::string& body,
                                            bool chat,
                                            const inventory::Snapshot& config);

// Returns the chained hashes of the complete 256-byte blocks of `prompt`, for
// at most 1024 blocks.
std::vector<std::string> PrefixBlocks(std::string_view prompt);

// Whether the inventory lists `path`, which has a leading slash, as
// non-idempotent for `service`.
bool IsNonIdempotentPath(const inventory::Service& service,
                         const std::string& path);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_CALLER_REQUEST_H_
