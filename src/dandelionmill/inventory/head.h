#ifndef SRC_DANDELIONMILL_INVENTORY_HEAD_H_
#define SRC_DANDELIONMILL_INVENTORY_HEAD_H_

#include <cstdint>
#include <map>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/parts.h"

namespace dandelionmill::inventory {

// Key of the table row that names the newest configuration.
inline constexpr char kHeadKey[] = "config/head";

// The value of the row kHeadKey and of a history row: one accepted
// configuration.
struct Head {
  base::ConfigVersion version = 0;
  // SHA-256 digests by part name.
  std::map<std::string, std::string> parts;
  std::string author;
  std::string summary;
  std::int64_t at_unix_ms = 0;
  // Chosen by the operator's command, so that it can recognise its own commit.
  std::string change_id;
};

// Parses a row's value. Fails with kBadInventory.
base::Result<Head> ParseHead(const std::string& json);

std::string ToJson(const Head& head);

// Returns the key of the history row of `version`.
std::string HistoryKey(base::ConfigVersion version);

// Returns the object name of a part's content.
std::string PartObject(const std::string& sha256);

// Returns the digest of each part.
std::map<std::string, std::string> DigestsOf(const Parts& parts);

}  // namespace dandelionmill::inventory

#endif  // SRC_DANDELIONMILL_INVENTORY_HEAD_H_
