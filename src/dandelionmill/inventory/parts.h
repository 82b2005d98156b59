#ifndef SRC_DANDELIONMILL_INVENTORY_PARTS_H_
#define SRC_DANDELIONMILL_INVENTORY_PARTS_H_

#include <map>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/inventory/document.h"

namespace dandelionmill::inventory {

// The parts of a configuration: JSON text by part name.
using Parts = std::map<std::string, std::string>;

// Maximum size of a part, in bytes, and maximum number of parts.
inline constexpr std::size_t kMaxPartBytes = 16 << 20;
inline constexpr std::size_t kMaxParts = 4096;

// Splits a valid document into the parts in which it is stored and distributed:
// "core", and one part for each shard of client accounts that is not empty.
// Equal documents give identical texts.
Parts SplitParts(const Document& document);

// Returns the name of the part that contains a client account.
std::string AccountPartName(const base::AccountId& account);

// Parses and validates parts like ParseInventory. Fails with kBadInventory,
// with the part and the JSON pointer in it in the detail.
base::Result<Document> JoinParts(const Parts& parts);

// Parses the parts of configuration `version`. Account parts with the same
// digest in `previous`, which may be null, are shared with it instead of
// parsed, so the cost depends on the size of the change. Fails like JoinParts.
base::Result<SnapshotPtr> ParseParts(base::ConfigVersion version,
                                     const Parts& parts,
                                     const SnapshotPtr& previous = nullptr);

}  // namespace dandelionmill::inventory

#endif  // SRC_DANDELIONMILL_INVENTORY_PARTS_H_
