#include "dandelionmill/scheduling/evacuations.h"

#include <iterator>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::scheduling {

EvacuationChanges Evacuations::OnRow(const EvacuationRow& row) {
  return std::visit(
      base::Overloaded{
          [&](const EvacuationRow::Present&) -> EvacuationChanges {
            if (known_zones_.count(row.zone) == 0) {
              return {EvacuationIgnored{
                  row.zone, row.version,
                  "the platform's settings have no zone of this name"}};
            }
            const auto [zone, is_new] = zones_.try_emplace(row.zone);
            zone->second = {row.version, std::nullopt};
            if (!is_new)
              return {};
            return {EvacuationBegun{row.zone, row.version}};
          },
          [&](const EvacuationRow::Removed&) -> EvacuationChanges {
            if (zones_.erase(row.zone) == 0)
              return {};
            return {EvacuationEnded{row.zone, row.version}};
          },
          [&](const EvacuationRow::Malformed&) -> EvacuationChanges {
            // Only the removal of the row cancels an evacuation.
            if (const auto zone = zones_.find(row.zone); zone != zones_.end())
              zone->second.ends_at.reset();
            return {EvacuationIgnored{row.zone, row.version,
                                      "the value is not a JSON object"}};
          }},
      row.state);
}

EvacuationChanges Evacuations::OnRows(const std::vector<EvacuationRow>& rows,
                                      base::BootTime now) {
  const bool is_restored = std::exchange(is_next_read_restored_, false);
  EvacuationChanges changes;
  std::set<base::ZoneId> present;
  for (const EvacuationRow& row : rows) {
    present.insert(row.zone);
    for (EvacuationChange& change : OnRow(row))
      changes.push_back(std::move(change));
  }
  for (auto it = zones_.begin(); it != zones_.end();) {
    Zone& zone = it->second;
    if (present.count(it->first) != 0) {
      zone.ends_at.reset();
    } else if (is_restored) {
      zone.ends_at = now + kRewriteTime;
    } else if (!zone.ends_at) {
      changes.emplace_back(EvacuationEnded{it->first, zone.row_version});
      it = zones_.erase(it);
      continue;
    }
    ++it;
  }
  return changes;
}

EvacuationChanges Evacuations::OnCurrent(base::BootTime as_of) {
  EvacuationChanges changes;
  for (auto it = zones_.begin(); it != zones_.end();) {
    const Zone& zone = it->second;
    if (zone.ends_at && *zone.ends_at <= as_of) {
      changes.emplace_back(EvacuationEnded{it->first, zone.row_version});
      it = zones_.erase(it);
    } else {
      ++it;
    }
  }
  return changes;
}

}  // namespace dandelionmill::scheduling
