#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_TOKENS_USED_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_TOKENS_USED_H_

#include "dandelionmill/base/units.h"
#include "dandelionmill/wire/budget.pb.h"

namespace dandelionmill::control {

// Returns the tokens that an attempt is charged, of `reserved` at most: what it
// used as far as that is known, else all that was reserved.
base::Tokens TokensUsed(const wire::Settle& settle, base::Tokens reserved);

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_TOKENS_USED_H_
