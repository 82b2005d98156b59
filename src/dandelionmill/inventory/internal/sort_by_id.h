#ifndef SRC_DANDELIONMILL_INVENTORY_INTERNAL_SORT_BY_ID_H_
#define SRC_DANDELIONMILL_INVENTORY_INTERNAL_SORT_BY_ID_H_

#include <algorithm>
#include <vector>

namespace dandelionmill::inventory::internal {

// Sorts items by their member `id`.
template <class Item>
void SortById(std::vector<Item>& items) {
  std::sort(items.begin(), items.end(),
            [](const Item& a, const Item& b) { return a.id < b.id; });
}

}  // namespace dandelionmill::inventory::internal

#endif  // SRC_DANDELIONMILL_INVENTORY_INTERNAL_SORT_BY_ID_H_
