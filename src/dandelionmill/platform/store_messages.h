#ifndef SRC_DANDELIONMILL_PLATFORM_STORE_MESSAGES_H_
#define SRC_DANDELIONMILL_PLATFORM_STORE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::platform {

// Encodes `change` as the request body of a commit.
std::string EncodeChange(const storage::RowChange& change);

// Returns the request target for reading the rows of one part, from `from_key`
// on.
std::string ReadTarget(const std::string& table,
                       const std::string& part,
                       const std::string& from_key);

// Returns the request target for reading the first row from `key` on.
std::string ReadRowTarget(const storage::RowKey& key);

// Returns the request target for waiting, up to `wait`, for rows of a table
// that changed after `version`.
std::string FollowTarget(const std::string& table,
                         std::uint64_t version,
                         std::chrono::milliseconds wait);

// Request target of a commit.
extern const char kCommitTarget[];

// Header field of each response of the store with the number of times that the
// store was restored from an older copy.
extern const char kStoreEraField[];

// Decodes the value of kStoreEraField. Returns nullopt if it is not a decimal
// number.
std::optional<std::uint64_t> DecodeStoreEra(const std::string& value);

// Decodes the store's response. The outcome is kUnknown when the status is
// unexpected, or when the body of a 200 or 412 response is not a JSON object.
// Malformed rows are omitted and counted.
storage::TableResponse DecodeStoreResponse(int status, const std::string& text);

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_STORE_MESSAGES_H_
