#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::storage {

const char* ToString(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kDone:
      return "done";
    case CallOutcome::kConflict:
      return "conflict";
    case CallOutcome::kHistoryGone:
      return "history_gone";
    case CallOutcome::kTooLarge:
      return "too_large";
    case CallOutcome::kNotPerformed:
      return "not_performed";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace dandelionmill::storage
