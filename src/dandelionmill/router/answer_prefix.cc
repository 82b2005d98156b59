#include "dandelionmill/router/answer_prefix.h"

#include "dandelionmill/base/digest.h"

namespace dandelionmill::router {

AnswerPrefix::Comparison AnswerPrefix::Add(std::string_view chunk) {
  const std::uint64_t hash = base::StableHash(chunk);
  if (position_ == delivered_.size()) {
    delivered_.push_back(hash);
    ++position_;
    return Comparison::kNew;
  }
  if (delivered_[position_] != hash)
    return Comparison::kMismatch;
  ++position_;
  return Comparison::kDelivered;
}

}  // namespace dandelionmill::router
