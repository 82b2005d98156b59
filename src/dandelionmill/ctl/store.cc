#include "dandelionmill/ctl/store.h"

#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::ctl {

base::Result<Accepted> ReadAccepted(storage::TableReader& table) {
  const base::Result<storage::Row> row = table.Read(inventory::kHeadKey);
  if (!base::IsOk(row))
    return base::ErrorOf(row);
  Accepted accepted;
  accepted.row_version = base::ValueOf(row).version;
  if (accepted.row_version == 0)
    return accepted;
  base::Result<inventory::Head> head =
      inventory::ParseHead(base::ValueOf(row).value);
  if (!base::IsOk(head))
    return base::ErrorOf(head);
  accepted.head = base::ValueOf(std::move(head));
  return accepted;
}

base::Result<inventory::Head> ReadHistoryHead(storage::TableReader& table,
                                              base::ConfigVersion version) {
  const base::Result<storage::Row> row =
      table.Read(inventory::HistoryKey(version));
  if (!base::IsOk(row))
    return base::ErrorOf(row);
  if (base::ValueOf(row).version == 0)
    return base::Error{base::Code::kNotFound,
                       "there is no configuration " + std::to_string(version)};
  return inventory::ParseHead(base::ValueOf(row).value);
}

base::Result<inventory::Document> ReadDocument(storage::ObjectReader& objects,
                                               const inventory::Head& head) {
  if (head.version == 0)
    return inventory::Document();
  inventory::Parts parts;
  for (const auto& [name, sha256] : head.parts) {
    base::Result<std::string> text =
        objects.Get(inventory::PartObjectName(sha256));
    if (!base::IsOk(text))
      return base::ErrorOf(text);
    if (base::Sha256Hex(base::ValueOf(text)) != sha256)
      return base::Error{base::Code::kBadInventory,
                         "part " + name + " does not match its digest"};
    parts[name] = base::ValueOf(std::move(text));
  }
  return inventory::JoinParts(parts);
}

}  // namespace dandelionmill::ctl
