#include "dandelionmill/control/internal/tokens_used.h"

#include <algorithm>

#include "dandelionmill/log/event.h"

namespace dandelionmill::control {

base::Tokens TokensUsed(const wire::Settle& settle, base::Tokens reserved) {
  // Plain services cost a fixed number of tokens per call.
  if (settle.outcome() == wire::OUTCOME_UNKNOWN || settle.model().empty())
    return reserved;
  const base::Tokens used = settle.prompt_tokens() + settle.completion_tokens();
  if (used > reserved) {
    log::Event(log::Level::kError, "use_exceeds_reservation")
        .With("attempt", settle.attempt())
        .With("used", used)
        .With("reserved", reserved);
  }
  return std::clamp<base::Tokens>(used, 0, reserved);
}

}  // namespace dandelionmill::control
