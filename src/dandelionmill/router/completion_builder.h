#ifndef SRC_DANDELIONMILL_ROUTER_COMPLETION_BUILDER_H_
#define SRC_DANDELIONMILL_ROUTER_COMPLETION_BUILDER_H_

#include <string>

#include "dandelionmill/backend/chunk.h"
#include "dandelionmill/base/ids.h"

namespace dandelionmill::router {

// Joins the chunks of a stream into one JSON document, for callers that did not
// request a stream.
class CompletionBuilder {
 public:
  CompletionBuilder(bool chat, base::ModelId model, base::RequestKey key);

  // Appends the data of one event.
  void Add(const std::string& chunk);

  // Returns the completion document of the chunks added so far.
  std::string ToJson(const backend::Usage& usage) const;

 private:
  const bool chat_;
  const base::ModelId model_;
  const base::RequestKey key_;
  std::string text_;
  std::string finish_reason_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_COMPLETION_BUILDER_H_
