#include "dandelionmill/control/internal/budget_recovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

// How long a holder must have been out of reach.
constexpr std::chrono::milliseconds kSuspicion{2500};
// The same for one that was never heard of; it may be about to be.
constexpr std::chrono::milliseconds kStrangerSuspicion{6000};
// How often a holder that is reachable is checked for having been closed.
constexpr std::chrono::milliseconds kRecheck{10000};
// The same for one of another zone, which is left to that zone.
constexpr std::chrono::milliseconds kForeignRecheck{600000};
// How long routers are waited for; the others count up to their ceilings.
constexpr std::chrono::milliseconds kReportPatience{5000};
constexpr std::chrono::milliseconds kAskPeriod{300};
// How long reports are good for further budgets of the same holder.
constexpr std::chrono::milliseconds kReportKept{10000};
constexpr std::chrono::milliseconds kRetryPeriod{500};
// A slow scan over all budgets: rows at once and time between.
constexpr int kScanRows = 500;
constexpr std::chrono::milliseconds kScanPeriod{1000};
constexpr int kHolderRows = 1000;
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

BudgetRecovery::Lost& BudgetRecovery::Register(const base::HolderId& holder) {
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
  if (!hooks_.is_ours(holder))
    Register(holder).budgets[key] = counted_under;
}

void BudgetRecovery::OnReport(const wire::CloseReport& report) {
  const auto lost = lost_.find(base::HolderId(report.holder()));
  if (lost == lost_.end() || lost->second.phase != Phase::kAsking)
    return;
  lost->second.reports[base::RouterId(report.router())] = report;
  if (lost->second.reports.size() >= lost->second.routers.size())
    lost->second.next_step = now_;
}

void BudgetRecovery::OnTick(base::MonoTime now) {
  now_ = std::max(now_, now);
  for (auto& [holder, lost] : lost_) {
    if (now_ >= lost.next_step)
      Step(holder, lost);
  }
  if (now_ >= next_scan_ && !scanning_)
    SweepBudgets();
}

void BudgetRecovery::Step(const base::HolderId& holder, Lost& lost) {
  switch (lost.phase) {
    case Phase::kSuspected:
      return Decide(holder, lost);
    case Phase::kClosing:
      return;
    case Phase::kAsking:
      return Ask(holder, lost);
    case Phase::kReported:
      if (!lost.budgets.empty())
        Fold(holder, lost);
      return;
  }
}

// Waits while the holder may be alive. Being wrong is harmless.
void BudgetRecovery::Decide(const base::HolderId& holder, Lost& lost) {
  const std::optional<bool> known = hooks_.is_reachable(holder);
  const bool reachable = known.value_or(false);
  const auto patience = known ? kSuspicion : kStrangerSuspicion;
  if (!reachable && now_ - lost.since < patience)
    return;
  lost.closed_by_row = reachable;
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
  Lost& lost = entry->second;
  // Without a row no router is known: all count up to their ceilings.
  if (!base::IsOk(record))
    return BeginAsking(lost, HolderRecord{});
  HolderRecord found = base::ValueOf(std::move(record));
  if (found.closed && found.zone == zone_)
    return BeginAsking(lost, found);
  // Another zone's routers cannot be asked from here; and a holder that
  // answers is left alone.
  if (found.zone != zone_ || lost.closed_by_row) {
    lost.phase = Phase::kSuspected;
    lost.since = now_;
    lost.next_step = now_ + (found.zone == zone_ ? kRecheck : kForeignRecheck);
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
                     unswept_.insert(holder);
                     BeginAsking(lost_[holder], record);
                   });
}

void BudgetRecovery::Retry(const base::HolderId& holder) {
  Lost& lost = lost_[holder];
  lost.phase = Phase::kSuspected;
  lost.next_step = now_ + kRetryPeriod;
}

void BudgetRecovery::BeginAsking(Lost& lost, const HolderRecord& record) {
  lost.routers = record.routers;
  AskAgain(lost);
}

void BudgetRecovery::AskAgain(Lost& lost) {
  lost.phase = Phase::kAsking;
  lost.since = now_;
  lost.next_step = now_;
  lost.reports.clear();
  // The row of a holder that was cleared away names none.
  const std::set<base::RouterId>& live = hooks_.live_routers();
  lost.routers.insert(live.begin(), live.end());
}

void BudgetRecovery::Ask(const base::HolderId& holder, Lost& lost) {
  bool complete = true;
  for (const base::RouterId& router : lost.routers) {
    if (lost.reports.count(router) != 0)
      continue;
    complete = false;
    hooks_.close_at_router(holder, router);
  }
  lost.next_step = now_ + kAskPeriod;
  if (!complete && now_ - lost.since < kReportPatience)
    return;
  log::Event(log::Level::kInfo, "holder_reports")
      .With("holder", holder)
      .With("routers", lost.routers.size())
      .With("answered", lost.reports.size());
  lost.phase = Phase::kReported;
  lost.since = now_;
  lost.next_step = now_;
}

// Whether all of `holders` have been asked for lately; has it done otherwise.
bool BudgetRecovery::HasFreshReports(const std::set<base::HolderId>& holders) {
  bool fresh = true;
  for (const base::HolderId& holder : holders) {
    Lost& lost = Register(holder);
    if (lost.phase == Phase::kReported && now_ - lost.since > kReportKept)
      AskAgain(lost);
    fresh = fresh && lost.phase == Phase::kReported;
  }
  return fresh;
}

void BudgetRecovery::Fold(const base::HolderId& holder, Lost& lost) {
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
    hooks_.fold(key, holder, reports);
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
  platform_.Scan(kHolderPrefix, holder_cursor_, kHolderRows,
                 [this](const base::Result<std::vector<storage::Row>>& rows) {
                   OnHolderRows(rows);
                 });
}

void BudgetRecovery::OnHolderRows(
    const base::Result<std::vector<storage::Row>>& rows) {
  if (!base::IsOk(rows))
    return;
  const std::vector<storage::Row>& page = base::ValueOf(rows);
  const bool is_last = page.size() < static_cast<std::size_t>(kHolderRows);
  holder_cursor_ = is_last ? "" : page.back().key;
  for (const storage::Row& row : page) {
    const base::HolderId holder(row.key.substr(sizeof(kHolderPrefix) - 1));
    const base::Result<HolderRecord> record = ParseHolderRecord(row.value);
    if (!base::IsOk(record) || base::ValueOf(record).zone != zone_ ||
        hooks_.is_ours(holder) || swept_.count(holder) != 0)
      continue;
    if (!base::ValueOf(record).closed &&
        hooks_.is_reachable(holder).value_or(false))
      continue;
    if (base::ValueOf(record).closed)
      unswept_.insert(holder);
    Register(holder);
  }
}

void BudgetRecovery::SweepBudgets() {
  if (!cursor_) {
    if (unswept_.empty())
      return;
    swept_.insert(unswept_.begin(), unswept_.end());
    unswept_.clear();
    cursor_ = "";
  }
  scanning_ = true;
  platform_.Scan(kBudgetPrefix, *cursor_, kScanRows,
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
    cursor_ = row.key;
    const std::optional<budget::BudgetKey> key = ParseRowKey(row.key);
    const base::Result<budget::Row> parsed = budget::ParseRow(row.value);
    if (!key || !base::IsOk(parsed))
      continue;
    for (const auto& [holder, lease] : base::ValueOf(parsed).leases) {
      if (swept_.count(holder) == 0)
        continue;
      found_.insert(holder);
      OnLease(*key, holder,
              budget::CountedUnder(base::ValueOf(parsed), holder));
    }
  }
  if (base::ValueOf(rows).size() < static_cast<std::size_t>(kScanRows)) {
    cursor_.reset();
    ClearRows();
  }
}

// Forgets holders that no budget names any more, and clears their rows away.
void BudgetRecovery::ClearRows() {
  for (auto holder = swept_.begin(); holder != swept_.end();) {
    const auto lost = lost_.find(*holder);
    if (found_.count(*holder) != 0) {
      // Look again whether the leases found have been folded.
      unswept_.insert(*holder);
      holder = swept_.erase(holder);
      continue;
    }
    ClearRow(*holder);
    if (lost != lost_.end())
      lost_.erase(lost);
    holder = swept_.erase(holder);
  }
  found_.clear();
}

void BudgetRecovery::ClearRow(const base::HolderId& holder) {
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
