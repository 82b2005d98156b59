// Reads and writes of budget rows by BudgetLeases.

#include <algorithm>
#include <utility>

#include "dandelionmill/control/internal/budget_entry.h"
#include "dandelionmill/control/internal/budget_leases.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

// Spent tokens are recorded in the row at least this often.
constexpr std::chrono::milliseconds kRecordSettledPeriod{5000};
// Minimum time between writes that no request waits for.
constexpr std::chrono::milliseconds kWritePeriod{1000};
// How often a row is read again while requests wait for tokens of other
// holders.
constexpr std::chrono::milliseconds kPollPeriod{200};
// Minimum time between recalls of tokens from other holders.
constexpr std::chrono::milliseconds kRecallPeriod{500};
constexpr std::chrono::milliseconds kRetryPeriod{250};
// Period of demand for which tokens are drawn ahead while they are scarce.
constexpr std::chrono::milliseconds kScarceReserve{1000};

}  // namespace

budget::LeasePolicy BudgetLeases::PolicyOf(const Entry& entry) const {
  const std::optional<BudgetConfig> budget_config =
      hooks_.budget_config(entry.key);
  if (!budget_config)
    return budget::DemandPolicy{};
  if (const auto* demand =
          std::get_if<budget::DemandPolicy>(&budget_config->policy)) {
    if (now_ < entry.scarce_until)
      return budget::DemandPolicy{kScarceReserve, demand->zones, true};
  }
  return budget_config->policy;
}

budget::SizingInput BudgetLeases::Sizing(const Entry& entry,
                                         const budget::Row& row) const {
  budget::SizingInput input;
  input.free = budget::Free(row);
  input.granted = row.granted;
  input.drawn = entry.lease.drawn();
  input.available = entry.lease.Available();
  input.first_waiting =
      entry.waiting.empty() ? 0 : entry.waiting.front().tokens;
  input.waiting = entry.TokensWaiting();
  input.rate = entry.demand.PerSecond(now_);
  input.largest = entry.demand.largest();
  input.idle = entry.demand.IdleFor(now_);
  return input;
}

budget::LeaseChange BudgetLeases::PlanChange(const Entry& entry,
                                             const budget::Row& row) const {
  const budget::SizingInput input = Sizing(entry, row);
  budget::LeaseChange change;
  change.draw =
      leaving_ ? -input.available : budget::PlanDraw(PolicyOf(entry), input);
  std::set<base::RouterId> routers;
  for (const base::RouterId& router : hooks_.live_routers()) {
    if (holder_.HasRouter(router))
      routers.insert(router);
  }
  for (const TokenRequest& request : entry.waiting) {
    if (holder_.HasRouter(request.router))
      routers.insert(request.router);
  }
  change.slices = budget::SplitAmongRouters(
      routers, input.available + change.draw, input.largest);
  return change;
}

bool BudgetLeases::NeedsWrite(const Entry& entry) const {
  if (!entry.waiting.empty() || !entry.recoveries.empty() || entry.recalled)
    return true;
  if (leaving_)
    return entry.lease.Outstanding() > entry.lease.reserved();
  if (now_ - entry.written_at < kWritePeriod)
    return false;
  if (entry.lease.UnrecordedSettled() > 0 &&
      now_ - entry.written_at >= kRecordSettledPeriod)
    return true;
  return entry.row &&
         budget::NeedsWrite(PolicyOf(entry), Sizing(entry, *entry.row));
}

// Returns whether a write based on the last known row would help a waiting
// request, change the size of the lease, or record spent tokens that are due.
bool BudgetLeases::WriteIsUseful(const Entry& entry) const {
  if (!entry.recoveries.empty() || leaving_)
    return true;
  const budget::LeaseChange change = PlanChange(entry, *entry.row);
  if (change.draw != 0)
    return true;
  const bool blocked_by_ceiling = std::any_of(
      entry.waiting.begin(), entry.waiting.end(),
      [&](const TokenRequest& request) {
        const auto slice = change.slices.find(request.router);
        return slice != change.slices.end() &&
               slice->second >= request.tokens &&
               entry.lease.AvailableTo(request.router) < request.tokens;
      });
  if (blocked_by_ceiling)
    return true;
  return entry.waiting.empty() && entry.lease.UnrecordedSettled() > 0 &&
         now_ - entry.written_at >= kRecordSettledPeriod;
}

void BudgetLeases::StartIo(Entry& entry) {
  if (entry.busy || now_ < entry.retry_at || !holder_.IsReady() ||
      entry.lease.IsClosed())
    return;
  if (entry.lease.HasWriteInFlight())
    return Read(entry);
  if (!NeedsWrite(entry))
    return;
  if (!entry.row)
    return Read(entry);
  if (WriteIsUseful(entry))
    return StartCommit(entry);
  const auto period =
      entry.waiting.empty() ? kRecordSettledPeriod : kPollPeriod;
  if (now_ - entry.read_at >= period)
    Read(entry);
}

void BudgetLeases::Read(Entry& entry) {
  entry.busy = true;
  platform_.Read(budget::RowKey(entry.key),
                 [this, &entry](const base::Result<storage::Row>& read) {
                   OnRead(entry, read);
                 });
}

void BudgetLeases::OnRead(Entry& entry,
                          const base::Result<storage::Row>& read) {
  entry.busy = false;
  if (!base::IsOk(read)) {
    OnStoreFailure(entry);
    return Advance(entry);
  }
  outage_since_.reset();
  if (!ApplyRow(entry, base::ValueOf(read)))
    return;
  if (entry.lease.HasWriteInFlight())
    return RetryCommit(entry);
  ServeWaiting(entry);
  RefuseUnsatisfiable(entry);
  ReportOtherLeases(entry);
  Advance(entry);
}

// Resends a write of unknown outcome, unless the holder row has a new version:
// then no copy of the write can commit any more.
void BudgetLeases::RetryCommit(Entry& entry) {
  if (!holder_.IsReady())
    return;
  const std::uint64_t checked = entry.transaction->writes[1].expected_version;
  if (checked == holder_.VersionCheck().expected_version)
    return SendCommit(entry);
  entry.lease.OnRejected();
  entry.transaction.reset();
  entry.completing.clear();
  Advance(entry);
}

// Returns false when the row is malformed or the lease has been closed.
bool BudgetLeases::ApplyRow(Entry& entry, const storage::Row& read) {
  budget::Row row;
  if (read.version == 0) {
    const std::optional<BudgetConfig> budget_config =
        hooks_.budget_config(entry.key);
    row.granted = budget_config ? budget_config->granted : 0;
  } else {
    base::Result<budget::Row> parsed = budget::ParseRow(read.value);
    if (!base::IsOk(parsed)) {
      log::Event(log::Level::kError, "budget_row_malformed")
          .With("row", read.key)
          .With(base::ErrorOf(parsed));
      OnStoreFailure(entry);
      return false;
    }
    row = base::ValueOf(std::move(parsed));
  }
  const auto status = entry.lease.OnRow(row, read.version);
  if (status == budget::HolderLease::RowStatus::kStale)
    return true;
  if (status == budget::HolderLease::RowStatus::kClosed) {
    holder_.Refresh();
    return false;
  }
  if (!entry.lease.HasWriteInFlight() && entry.transaction) {
    const auto stored = row.leases.find(holder_.holder());
    const auto written = entry.written.leases.find(holder_.holder());
    if (stored != row.leases.end() && written != entry.written.leases.end() &&
        stored->second.sequence == written->second.sequence)
      OnWritten(entry);
    entry.transaction.reset();
    entry.completing.clear();
  }
  entry.row = std::move(row);
  entry.version = read.version;
  entry.read_at = now_;
  return true;
}

void BudgetLeases::ReportOtherLeases(Entry& entry) {
  if (!entry.row)
    return;
  // Tokens that are free in the row only need a write; recall none for them.
  const base::Tokens missing = entry.TokensWaiting() - entry.lease.Available();
  const bool send_recall = !entry.waiting.empty() &&
                           missing > budget::Free(*entry.row) &&
                           now_ - entry.recalled_others_at >= kRecallPeriod;
  if (send_recall)
    entry.recalled_others_at = now_;
  const budget::Row row = *entry.row;
  for (const auto& [holder, lease] : row.leases) {
    if (holder == holder_.holder() || lease.outstanding() == 0)
      continue;
    hooks_.on_other_lease(entry.key, holder,
                          budget::AccountingHolders(row, holder));
    if (send_recall)
      hooks_.on_shortage(entry.key, holder, entry.TokensWaiting());
  }
}

void BudgetLeases::StartCommit(Entry& entry) {
  budget::Row row = *entry.row;
  budget::LeaseChange takeover;
  entry.completing.clear();
  for (auto& [lost, recovery] : entry.recoveries) {
    budget::RecoveryResult result =
        budget::RecoverLease(row, lost, recovery.reports);
    row = result.row;
    const budget::LeaseChange change = budget::TakeoverChange(result);
    for (const auto& [router, tokens] : change.adopted)
      takeover.adopted[router] += tokens;
    for (const auto& [holder, settled] : change.took)
      takeover.took[holder] = settled;
    entry.completing.push_back({lost, std::move(result), recovery.done});
  }
  budget::LeaseChange change = PlanChange(entry, row);
  change.adopted = std::move(takeover.adopted);
  change.took = std::move(takeover.took);
  counters_.draws += change.draw > 0 ? 1 : 0;
  counters_.returns += change.draw < 0 ? 1 : 0;
  entry.written = entry.lease.Prepare(std::move(row), entry.version, change);
  entry.transaction =
      storage::Transaction{{{budget::RowKey(entry.key), entry.version,
                             budget::ToJson(entry.written), false},
                            holder_.VersionCheck()}};
  entry.sent_before = false;
  SendCommit(entry);
}

void BudgetLeases::SendCommit(Entry& entry) {
  entry.busy = true;
  ++counters_.commits;
  platform_.Commit(
      *entry.transaction,
      [this, &entry](const base::Status& status) { OnCommit(entry, status); });
}

void BudgetLeases::OnCommit(Entry& entry, const base::Status& status) {
  entry.busy = false;
  if (base::IsOk(status)) {
    outage_since_.reset();
    entry.lease.OnCommitted();
    entry.row = entry.written;
    ++entry.version;
    entry.transaction.reset();
    OnWritten(entry);
    return Advance(entry);
  }
  if (base::ErrorOf(status).code == base::Code::kStoreConflict) {
    ++counters_.conflicts;
    // Either row may have changed. HolderLease::OnRow() determines whether an
    // earlier copy of this write took effect.
    holder_.Refresh();
    entry.row.reset();
    return Read(entry);
  }
  if (base::ErrorOf(status).code == base::Code::kStoreUnavailable &&
      !entry.sent_before) {
    entry.lease.OnRejected();
    entry.transaction.reset();
    entry.completing.clear();
  }
  entry.sent_before = true;
  OnStoreFailure(entry);
  Advance(entry);
}

// Called when the write of entry.written has taken effect.
void BudgetLeases::OnWritten(Entry& entry) {
  entry.written_at = now_;
  entry.recalled = false;
  std::vector<Entry::CompletedRecovery> completed = std::move(entry.completing);
  entry.completing.clear();
  for (const Entry::CompletedRecovery& recovery : completed) {
    entry.recoveries.erase(recovery.lost);
    counters_.written_off += recovery.result.written_off;
    recovery.done(recovery.result);
  }
}

void BudgetLeases::OnStoreFailure(Entry& entry) {
  if (!outage_since_)
    outage_since_ = now_;
  entry.retry_at = now_ + kRetryPeriod;
}

}  // namespace dandelionmill::control
