#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_HOLDER_ROW_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_HOLDER_ROW_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::control {

class PlatformIo;

// The content of the table row `holder/{holder id}`.
struct HolderRecord {
  base::ZoneId zone;
  base::InstanceId instance;
  // All routers to which this holder may grant reservations.
  std::set<base::RouterId> routers;
  // Set once, by the control that recovers the holder's leases.
  bool closed = false;
};

// Returns the key of the row in the table.
std::string HolderKey(const base::HolderId& holder);
// Fails with kMalformedMessage when `text` is not a JSON object.
base::Result<HolderRecord> ParseHolderRecord(const std::string& text);
std::string ToJson(const HolderRecord& record);

// Maintains this holder's own row: creates it and adds routers to it. Every
// transaction of the holder checks the version of the row, so that none commits
// after the holder has been closed. Used on the control thread only.
class HolderRow {
 public:
  // `on_change` is called after the row has been written or read again.
  HolderRow(PlatformIo& platform,
            base::HolderId holder,
            base::ZoneId zone,
            base::InstanceId instance,
            std::function<void()> on_change);

  // Queries.
  const base::HolderId& holder() const { return holder_; }
  // Whether transactions may be sent now.
  bool IsReady() const { return version_ > 0 && !busy_ && !record_.closed; }
  bool IsClosed() const { return record_.closed; }
  bool HasRouter(const base::RouterId& router) const {
    return record_.routers.count(router) != 0;
  }
  const std::set<base::RouterId>& routers() const { return record_.routers; }
  // Returns the check of the row's version that each transaction of the holder
  // must include.
  storage::RowWrite VersionCheck() const;

  // Commands.
  // Schedules a write that adds `router` to the row.
  void AddRouter(const base::RouterId& router);
  // Reads the row again, after a conflict that a change of the row may have
  // caused.
  void Refresh();
  void OnTick(base::MonoTime now);

 private:
  void Write();
  void OnWritten(const HolderRecord& written, const base::Status& status);
  void OnRead(const base::Result<storage::Row>& row);

  PlatformIo& platform_;
  const base::HolderId holder_;
  const std::function<void()> on_change_;
  HolderRecord record_;
  std::uint64_t version_ = 0;
  std::set<base::RouterId> pending_routers_;
  bool busy_ = false;
  // Whether the row's version in the table may differ from `version_`.
  bool stale_ = false;
  base::MonoTime retry_at_;
  base::MonoTime now_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_HOLDER_ROW_H_
