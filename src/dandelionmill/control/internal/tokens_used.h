#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_TOKENS_USED_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_TOKENS_USED_H_

#include "dandelionmill/base/units.h"
#include "dandelionmill/wire/budget.pb.h"

namespace dandelionmill::control {

// Returns the tokens to charge for an attempt, at most `reserved`: the reported
// usage of a model, or the whole reservation when the outcome is unknown or the
// service reports no usage.
base::Tokens TokensUsed(const wire::Settle& settle, base::Tokens reserved);

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_TOKENS_USED_H_
