#ifndef SRC_DANDELIONMILL_CTL_STORE_H_
#define SRC_DANDELIONMILL_CTL_STORE_H_

#include <cstdint>

#include "dandelionmill/base/result.h"
#include "dandelionmill/inventory/document.h"
#include "dandelionmill/inventory/head.h"
#include "dandelionmill/storage/object_store.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::ctl {

// The platform's stores, as a command uses them.
struct Stores {
  storage::TableStore& table;
  storage::ObjectStore& objects;
};

// The configuration that was accepted last, or none: version 0.
struct Accepted {
  inventory::Head head;
  // Version of the row that holds the head.
  std::uint64_t row_version = 0;
};

// Reads the newest accepted configuration's head. Fails with
// kStoreUnavailable or kBadInventory.
base::Result<Accepted> ReadAccepted(storage::TableReader& table);

// Reads the head of an earlier version. Fails with kNotFound too.
base::Result<inventory::Head> ReadHistory(storage::TableReader& table,
                                          base::ConfigVersion version);

// Reads and checks the content that a head names; version 0 gives an empty
// document. Fails with kStoreUnavailable, kNotFound or kBadInventory.
base::Result<inventory::Document> ReadDocument(storage::ObjectReader& objects,
                                               const inventory::Head& head);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_STORE_H_
