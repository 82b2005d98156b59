#ifndef SRC_DANDELIONMILL_PLATFORM_STORE_MESSAGES_H_
#define SRC_DANDELIONMILL_PLATFORM_STORE_MESSAGES_H_

#include <string>

#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::platform {

// Returns the body of the call that commits `change`.
std::string EncodeChange(const storage::RowChange& change);

// Returns the request target that reads rows of one part.
std::string ReadTarget(const std::string& table,
                       const std::string& part,
                       const std::string& from_key);

// Returns the request target that waits for changes of a table.
std::string FollowTarget(const std::string& table,
                         std::uint64_t version,
                         std::chrono::milliseconds wait);

// The request target that commits a change.
extern const char kCommitTarget[];

// Decodes the store's answer. A status or a body that the store never sends
// gives kUnknown.
storage::TableAnswer DecodeStoreAnswer(int status, const std::string& body);

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_STORE_MESSAGES_H_
