#ifndef SRC_DANDELIONMILL_SCHEDULING_EVACUATIONS_H_
#define SRC_DANDELIONMILL_SCHEDULING_EVACUATIONS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/ids.h"

namespace dandelionmill::scheduling {

// The operator's row for one availability zone, as read from the store.
struct EvacuationRow {
  // The zone is to be evacuated.
  struct Present {};
  // The row was removed.
  struct Removed {};
  // The row has a value that is not allowed.
  struct Malformed {};

  base::ZoneId zone;
  // Version of the store that last changed the row.
  std::uint64_t version = 0;
  std::variant<Present, Removed, Malformed> state;
};

// What a row, or its absence, has changed.
struct EvacuationBegun {
  base::ZoneId zone;
  std::uint64_t row_version = 0;
};
struct EvacuationEnded {
  base::ZoneId zone;
  // Version of the removed row, or of the last one if the removal was not read.
  std::uint64_t row_version = 0;
};
// The row has no effect.
struct EvacuationIgnored {
  base::ZoneId zone;
  std::uint64_t row_version = 0;
  std::string reason;
};
using EvacuationChange =
    std::variant<EvacuationBegun, EvacuationEnded, EvacuationIgnored>;
using EvacuationChanges = std::vector<EvacuationChange>;

// The availability zones whose backend servers must not receive requests. The
// last known state is kept while the store is unreachable. Pure.
class Evacuations {
 public:
  // How long a row that a restored store lacks counts as present: the operator
  // writes it again in that time.
  static constexpr std::chrono::milliseconds kRewriteTime{5000};

  struct Zone {
    std::uint64_t row_version = 0;
    // Set while a restored store lacks the row: when the evacuation ends.
    std::optional<base::BootTime> ends_at;
  };

  explicit Evacuations(std::set<base::ZoneId> known_zones)
      : known_zones_(std::move(known_zones)) {}

  // Commands.
  // A row was added, changed or removed.
  EvacuationChanges OnRow(const EvacuationRow& row);
  // All rows were read at `now`. Those that are not included have been removed.
  EvacuationChanges OnRows(const std::vector<EvacuationRow>& rows,
                           base::BootTime now);
  // The store was restored from an older copy. The next read of all rows may
  // lack some that the operator has not removed.
  void OnStoreRestored() { is_next_read_restored_ = true; }
  // All changes up to `as_of` have been reported here.
  EvacuationChanges OnCurrent(base::BootTime as_of);

  // Queries.
  bool empty() const { return zones_.empty(); }
  bool Includes(const base::ZoneId& zone) const {
    return !zones_.empty() && zones_.count(zone) != 0;
  }
  const std::map<base::ZoneId, Zone>& zones() const { return zones_; }

 private:
  const std::set<base::ZoneId> known_zones_;
  std::map<base::ZoneId, Zone> zones_;
  bool is_next_read_restored_ = false;
};

}  // namespace dandelionmill::scheduling

#endif  // SRC_DANDELIONMILL_SCHEDULING_EVACUATIONS_H_
