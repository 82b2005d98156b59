#ifndef SRC_DANDELIONMILL_CTL_STORE_H_
#define SRC_DANDELIONMILL_CTL_STORE_H_

#include <cstdint>

#include "dandelionmill/base/result.h"
#include "dandelionmill/inventory/document.h"
#include "dandelionmill/inventory/head.h"
#include "dandelionmill/storage/object_store.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::ctl {

// The platform's stores: configuration heads and budgets are rows of the table,
// configuration parts and charges are objects.
struct Stores {
  storage::TableStore& table;
  storage::ObjectStore& objects;
};

// The newest accepted configuration; the head's version is 0 when there is
// none.
struct Accepted {
  inventory::Head head;
  // Version of the table row that holds the head; 0 when there is no row.
  std::uint64_t row_version = 0;
};

// Reads the newest accepted configuration's head. Fails with
// kStoreUnavailable or kBadInventory.
base::Result<Accepted> ReadAccepted(storage::TableReader& table);

// Reads the head of `version` from the history. Fails with kNotFound when there
// is no such version, kStoreUnavailable or kBadInventory.
base::Result<inventory::Head> ReadHistoryHead(storage::TableReader& table,
                                              base::ConfigVersion version);

// Reads the parts of a configuration and checks them against the digests in its
// head; returns an empty document for version 0. Fails with kStoreUnavailable,
// kNotFound or kBadInventory.
base::Result<inventory::Document> ReadDocument(storage::ObjectReader& objects,
                                               const inventory::Head& head);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_STORE_H_
