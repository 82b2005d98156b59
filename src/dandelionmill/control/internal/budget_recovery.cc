#include "dandelionmill/control/internal/budget_recovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

// How long a known holder must have been unreachable before it counts as lost.
constexpr std::chrono::milliseconds kUnreachableTimeout{2500};
// The same for an unknown holder, which may have just started.
constexpr std::chrono::milliseconds kUnknownHolderTimeout{6000};
// How often the row of a reachable holder is checked for having been closed.
constexpr std::chrono::milliseconds kRecheckPeriod{10000};
// The same for a holder of another zone, which that zone recovers itself.
constexpr std::chrono::milliseconds kOtherZoneRecheckPeriod{600000};
// Time limit for the reports. Routers without one are charged up to their
// ceilings.
constexpr std::chrono::milliseconds kReportTimeout{5000};
constexpr std::chrono::milliseconds kRequestPeriod{300};
// Age up to which reports are reused for further budgets of the same holder.
constexpr std::chrono::milliseconds kReportMaxAge{10000};
constexpr std::chrono::milliseconds kRetryPeriod{500};
// Rows per page of the scan over all budgets, and the time between pages.
constexpr int kScanPageSize = 500;
constexpr std::chrono::milliseconds kScanPeriod{1000};
constexpr int kHolderPageSize = 1000;
constexpr char kBudgetPrefix[] = "budget/";
constexpr char kHolderPrefix[] = "holder/";

std::optional<budget::BudgetKey> ParseRowKey(const std::string& key) {
  const std::size_t begin = sizeof(kBudgetPrefix) - 1;
  const std::size_t slash = key.find('/', begin);
  if (slash == std::string::npos)
    return std::nullopt;
  return budget::BudgetKey{base::AccountId(key.substr(begin, slash - begin)),
                           key.substr(slash + 1)};
}

}  // namespace

BudgetRecovery::BudgetRecovery(PlatformIo& platform,
                               base::ZoneId zone,
                               Hooks hooks)
    : platform_(platform), zone_(std::move(zone)), hooks_(std::move(hooks)) {}

BudgetRecovery::~BudgetRecovery() = default;

BudgetRecovery::LostHolder& BudgetRecovery::Register(
    const base::HolderId& holder) {
  const auto [entry, is_new] = lost_.try_emplace(holder);
  if (is_new) {
    entry->second.since = now_;
    entry->second.next_step = now_;
  }
  return entry->second;
}

void BudgetRecovery::OnLease(const budget::BudgetKey& key,
                             const base::HolderId& holder,
                             const std::set<base::HolderId>& counted_under) {
  if (!hooks_.is_own(holder))
    Register(holder).budgets[key] = counted_under;
}

void BudgetRecovery::OnReport(const wire::CloseReport& report) {
  const auto lost = lost_.find(base::HolderId(report.holder()));
  if (lost == lost_.end() || lost->second.phase != Phase::kCollecting)
    return;
  lost->second.reports[base::RouterId(report.router())] = report;
  if (lost->second.reports.size() >= lost->second.routers.size())
    lost->second.next_step = now_;
}

void BudgetRecovery::OnTick(base::MonoTime now) {
  now_ = std::max(now_, now);
  for (auto& [holder, lost] : lost_) {
    if (now_ >= lost.next_step)
      Advance(holder, lost);
  }
  if (now_ >= next_scan_ && !scanning_)
    ScanBudgets();
}

void BudgetRecovery::Advance(const base::HolderId& holder, LostHolder& lost) {
  switch (lost.phase) {
    case Phase::kSuspected:
      return CheckSuspected(holder, lost);
    case Phase::kClosing:
      return;
    case Phase::kCollecting:
      return RequestReports(holder, lost);
    case Phase::kCollected:
      if (!lost.budgets.empty())
        RecoverLeases(holder, lost);
      return;
  }
}

// Waits while the holder may still be running. Closing a running one is
// harmless.
void BudgetRecovery::CheckSuspected(const base::HolderId& holder,
                                    LostHolder& lost) {
  const std::optional<bool> known = hooks_.is_reachable(holder);
  const bool reachable = known.value_or(false);
  const auto timeout = known ? kUnreachableTimeout : kUnknownHolderTimeout;
  if (!reachable && now_ - lost.since < timeout)
    return;
  lost.only_check_row = reachable;
  lost.phase = Phase::kClosing;
  ReadRow(holder);
}

void BudgetRecovery::ReadRow(const base::HolderId& holder) {
  platform_.Read(HolderKey(holder),
                 [this, holder](const base::Result<storage::Row>& read) {
                   OnRow(holder, read);
                 });
}

void BudgetRecovery::OnRow(const base::HolderId& holder,
                           const base::Result<storage::Row>& read) {
  if (!base::IsOk(read))
    return Retry(holder);
  const storage::Row& row = base::ValueOf(read);
  base::Result<HolderRecord> record = ParseHolderRecord(row.value);
  const auto entry = lost_.find(holder);
  if (entry == lost_.end())
    return;
  LostHolder& lost = entry->second;
  // Without a row only the routers heard from recently are known; all others
  // are charged up to their ceilings.
  if (!base::IsOk(record))
    return StartCollecting(lost, HolderRecord{});
  HolderRecord found = base::ValueOf(std::move(record));
  if (found.closed && found.zone == zone_)
    return StartCollecting(lost, found);
  // Routers of another zone cannot be reached from here, and a reachable holder
  // is not closed.
  if (found.zone != zone_ || lost.only_check_row) {
    lost.phase = Phase::kSuspected;
    lost.since = now_;
    lost.next_step =
        now_ + (found.zone == zone_ ? kRecheckPeriod : kOtherZoneRecheckPeriod);
    return;
  }
  CloseRow(holder, std::move(found), row.version);
}

void BudgetRecovery::CloseRow(const base::HolderId& holder,
                              HolderRecord record,
                              std::uint64_t version) {
  record.closed = true;
  platform_.Commit({{{HolderKey(holder), version, ToJson(record), false}}},
                   [this, holder, record](const base::Status& status) {
                     if (!base::IsOk(status))
                       return Retry(holder);
                     log::Event(log::Level::kWarning, "holder_closed_by_us")
                         .With("holder", holder)
                         .With("routers", record.routers.size());
                     pending_holders_.insert(holder);
                     StartCollecting(lost_[holder], record);
                   });
}

void BudgetRecovery::Retry(const base::HolderId& holder) {
  LostHolder& lost = lost_[holder];
  lost.phase = Phase::kSuspected;
  lost.next_step = now_ + kRetryPeriod;
}

void BudgetRecovery::StartCollecting(LostHolder& lost,
                                     const HolderRecord& record) {
  lost.routers = record.routers;
  RestartCollecting(lost);
}

void BudgetRecovery::RestartCollecting(LostHolder& lost) {
  lost.phase = Phase::kCollecting;
  lost.since = now_;
  lost.next_step = now_;
  lost.reports.clear();
  // If the holder's row was deleted, lost.routers is empty.
  const std::set<base::RouterId>& live = hooks_.live_routers();
  lost.routers.insert(live.begin(), live.end());
}

void BudgetRecovery::RequestReports(const base::HolderId& holder,
                                    LostHolder& lost) {
  bool complete = true;
  for (const base::RouterId& router : lost.routers) {
    if (lost.reports.count(router) != 0)
      continue;
    complete = false;
    hooks_.close_at_router(holder, router);
  }
  lost.next_step = now_ + kRequestPeriod;
  if (!complete && now_ - lost.since < kReportTimeout)
    return;
  log::Event(log::Level::kInfo, "holder_reports")
      .With("holder", holder)
      .With("routers", lost.routers.size())
      .With("answered", lost.reports.size());
  lost.phase = Phase::kCollected;
  lost.since = now_;
  lost.next_step = now_;
}

// Returns whether recent reports exist for all of `holders`; starts to collect
// the missing ones.
bool BudgetRecovery::HasFreshReports(const std::set<base::HolderId>& holders) {
  bool fresh = true;
  for (const base::HolderId& holder : holders) {
    LostHolder& lost = Register(holder);
    if (lost.phase == Phase::kCollected && now_ - lost.since > kReportMaxAge)
      RestartCollecting(lost);
    fresh = fresh && lost.phase == Phase::kCollected;
  }
  return fresh;
}

void BudgetRecovery::RecoverLeases(const base::HolderId& holder,
                                   LostHolder& lost) {
  for (auto budget = lost.budgets.begin(); budget != lost.budgets.end();) {
    if (!HasFreshReports(budget->second)) {
      ++budget;
      continue;
    }
    Reports reports;
    for (const base::HolderId& counted : budget->second) {
      for (const auto& [router, report] : lost_[counted].reports)
        reports[counted].push_back(report);
    }
    const budget::BudgetKey key = budget->first;
    budget = lost.budgets.erase(budget);
    hooks_.recover_lease(key, holder, reports);
  }
}

void BudgetRecovery::Dump(nlohmann::json& dump) const {
  nlohmann::json& holders = dump["lost_holders"];
  holders = nlohmann::json::object();
  for (const auto& [holder, lost] : lost_) {
    holders[holder.value()] = {{"phase", static_cast<int>(lost.phase)},
                               {"routers", lost.routers.size()},
                               {"reports", lost.reports.size()},
                               {"budgets", lost.budgets.size()}};
  }
}

void BudgetRecovery::Sweep() {
  platform_.Scan(kHolderPrefix, holder_cursor_, kHolderPageSize,
                 [this](const base::Result<std::vector<storage::Row>>& rows) {
                   OnHolderRows(rows);
                 });
}

void BudgetRecovery::OnHolderRows(
    const base::Result<std::vector<storage::Row>>& rows) {
  if (!base::IsOk(rows))
    return;
  const std::vector<storage::Row>& page = base::ValueOf(rows);
  const bool is_last = page.size() < static_cast<std::size_t>(kHolderPageSize);
  holder_cursor_ = is_last ? "" : page.back().key;
  for (const storage::Row& row : page) {
    const base::HolderId holder(row.key.substr(sizeof(kHolderPrefix) - 1));
    const base::Result<HolderRecord> record = ParseHolderRecord(row.value);
    if (!base::IsOk(record) || base::ValueOf(record).zone != zone_ ||
        hooks_.is_own(holder) || scanned_holders_.count(holder) != 0)
      continue;
    if (!base::ValueOf(record).closed &&
        hooks_.is_reachable(holder).value_or(false))
      continue;
    if (base::ValueOf(record).closed)
      pending_holders_.insert(holder);
    Register(holder);
  }
}

void BudgetRecovery::ScanBudgets() {
  if (!budget_cursor_) {
    if (pending_holders_.empty())
      return;
    scanned_holders_.insert(pending_holders_.begin(), pending_holders_.end());
    pending_holders_.clear();
    budget_cursor_ = "";
  }
  scanning_ = true;
  platform_.Scan(kBudgetPrefix, *budget_cursor_, kScanPageSize,
                 [this](const base::Result<std::vector<storage::Row>>& rows) {
                   OnBudgetRows(rows);
                 });
}

void BudgetRecovery::OnBudgetRows(
    const base::Result<std::vector<storage::Row>>& rows) {
  scanning_ = false;
  next_scan_ = now_ + kScanPeriod;
  if (!base::IsOk(rows))
    return;
  for (const storage::Row& row : base::ValueOf(rows)) {
    budget_cursor_ = row.key;
    const std::optional<budget::BudgetKey> key = ParseRowKey(row.key);
    const base::Result<budget::Row> parsed = budget::ParseRow(row.value);
    if (!key || !base::IsOk(parsed))
      continue;
    for (const auto& [holder, lease] : base::ValueOf(parsed).leases) {
      if (scanned_holders_.count(holder) == 0)
        continue;
      holders_with_leases_.insert(holder);
      OnLease(*key, holder,
              budget::AccountingHolders(base::ValueOf(parsed), holder));
    }
  }
  if (base::ValueOf(rows).size() < static_cast<std::size_t>(kScanPageSize)) {
    budget_cursor_.reset();
    RemoveScannedHolders();
  }
}

// Forgets holders that have no lease left and deletes their rows.
void BudgetRecovery::RemoveScannedHolders() {
  for (auto holder = scanned_holders_.begin();
       holder != scanned_holders_.end();) {
    const auto lost = lost_.find(*holder);
    if (holders_with_leases_.count(*holder) != 0) {
      // Scan again later to check that the leases found have been recovered.
      pending_holders_.insert(*holder);
      holder = scanned_holders_.erase(holder);
      continue;
    }
    DeleteRow(*holder);
    if (lost != lost_.end())
      lost_.erase(lost);
    holder = scanned_holders_.erase(holder);
  }
  holders_with_leases_.clear();
}

void BudgetRecovery::DeleteRow(const base::HolderId& holder) {
  platform_.Read(
      HolderKey(holder),
      [this, holder](const base::Result<storage::Row>& read) {
        if (!base::IsOk(read) || base::ValueOf(read).version == 0)
          return;
        platform_.Commit(
            {{{HolderKey(holder), base::ValueOf(read).version, "", true}}},
            [](const base::Status&) {});
      });
}

}  // namespace dandelionmill::control
