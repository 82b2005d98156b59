// The part of BudgetLeases that reads and writes rows.

#include <algorithm>
#include <utility>

#include "dandelionmill/control/internal/budget_entry.h"
#include "dandelionmill/control/internal/budget_leases.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

// Spent tokens are counted in the row at least this often.
constexpr std::chrono::milliseconds kFoldPeriod{5000};
// Shortest time between writes that no request waits for.
constexpr std::chrono::milliseconds kWritePeriod{1000};
// How often a row is read again while requests wait for others' tokens.
constexpr std::chrono::milliseconds kPollPeriod{200};
// How often other holders are asked to return tokens.
constexpr std::chrono::milliseconds kAskPeriod{500};
constexpr std::chrono::milliseconds kRetryPeriod{250};
// Demand that is covered ahead while tokens are scarce.
constexpr std::chrono::milliseconds kScarceReserve{1000};

}  // namespace

budget::LeasePolicy BudgetLeases::PolicyOf(const Entry& entry) const {
  const std::optional<BudgetTerms> terms = hooks_.terms(entry.key);
  if (!terms)
    return budget::DemandPolicy{};
  if (const auto* demand = std::get_if<budget::DemandPolicy>(&terms->policy)) {
    if (now_ < entry.scarce_until)
      return budget::DemandPolicy{kScarceReserve, demand->zones, true};
  }
  return terms->policy;
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
    if (holder_.IsNamed(router))
      routers.insert(router);
  }
  for (const Want& want : entry.waiting) {
    if (holder_.IsNamed(want.router))
      routers.insert(want.router);
  }
  change.slices = budget::SplitAmongRouters(
      routers, input.available + change.draw, input.largest);
  return change;
}

bool BudgetLeases::WantsWrite(const Entry& entry) const {
  if (!entry.waiting.empty() || !entry.recoveries.empty() || entry.recalled)
    return true;
  if (leaving_)
    return entry.lease.Outstanding() > entry.lease.reserved();
  if (now_ - entry.written_at < kWritePeriod)
    return false;
  if (entry.lease.Unfolded() > 0 && now_ - entry.written_at >= kFoldPeriod)
    return true;
  return entry.row && budget::IsDue(PolicyOf(entry), Sizing(entry, *entry.row));
}

// Whether a write on top of the row as we know it changes anything for the
// requests that wait, or for the size of the lease.
bool BudgetLeases::WriteHelps(const Entry& entry) const {
  if (!entry.recoveries.empty() || leaving_)
    return true;
  const budget::LeaseChange change = PlanChange(entry, *entry.row);
  if (change.draw != 0)
    return true;
  const bool blocked_by_ceiling = std::any_of(
      entry.waiting.begin(), entry.waiting.end(), [&](const Want& want) {
        const auto slice = change.slices.find(want.router);
        return slice != change.slices.end() && slice->second >= want.tokens &&
               entry.lease.AvailableTo(want.router) < want.tokens;
      });
  if (blocked_by_ceiling)
    return true;
  return entry.waiting.empty() && entry.lease.Unfolded() > 0 &&
         now_ - entry.written_at >= kFoldPeriod;
}

void BudgetLeases::Step(Entry& entry) {
  if (entry.busy || now_ < entry.retry_at || !holder_.IsReady() ||
      entry.lease.IsClosed())
    return;
  if (entry.lease.HasWriteInFlight())
    return Read(entry);
  if (!WantsWrite(entry))
    return;
  if (!entry.row)
    return Read(entry);
  if (WriteHelps(entry))
    return Commit(entry);
  const auto period = entry.waiting.empty() ? kFoldPeriod : kPollPeriod;
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
    return Pump(entry);
  }
  outage_since_.reset();
  if (!LearnRow(entry, base::ValueOf(read)))
    return;
  if (entry.lease.HasWriteInFlight())
    return Repeat(entry);
  Serve(entry);
  RefuseHopeless(entry);
  ReportOtherLeases(entry);
  Pump(entry);
}

// Sends a write of unknown outcome again, unless the holder row has moved on:
// then no copy of it can commit any more.
void BudgetLeases::Repeat(Entry& entry) {
  if (!holder_.IsReady())
    return;
  const std::uint64_t checked = entry.transaction->writes[1].expected_version;
  if (checked == holder_.Check().expected_version)
    return Send(entry);
  entry.lease.OnRejected();
  entry.transaction.reset();
  entry.finishing.clear();
  Pump(entry);
}

// Returns whether the entry can go on with the row.
bool BudgetLeases::LearnRow(Entry& entry, const storage::Row& read) {
  budget::Row row;
  if (read.version == 0) {
    const std::optional<BudgetTerms> terms = hooks_.terms(entry.key);
    row.granted = terms ? terms->granted : 0;
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
  const auto standing = entry.lease.OnRow(row, read.version);
  if (standing == budget::HolderLease::Standing::kStale)
    return true;
  if (standing == budget::HolderLease::Standing::kClosed) {
    holder_.Refresh();
    return false;
  }
  if (!entry.lease.HasWriteInFlight() && entry.transaction) {
    const auto own = row.leases.find(holder_.holder());
    const auto ours = entry.written.leases.find(holder_.holder());
    if (own != row.leases.end() && ours != entry.written.leases.end() &&
        own->second.sequence == ours->second.sequence)
      OnStored(entry);
    entry.transaction.reset();
    entry.finishing.clear();
  }
  entry.row = std::move(row);
  entry.version = read.version;
  entry.read_at = now_;
  return true;
}

void BudgetLeases::ReportOtherLeases(Entry& entry) {
  if (!entry.row)
    return;
  // A request that only waits for a write takes nothing from other holders.
  const base::Tokens missing = entry.TokensWaiting() - entry.lease.Available();
  const bool ask = !entry.waiting.empty() &&
                   missing > budget::Free(*entry.row) &&
                   now_ - entry.asked_others_at >= kAskPeriod;
  if (ask)
    entry.asked_others_at = now_;
  const budget::Row row = *entry.row;
  for (const auto& [holder, lease] : row.leases) {
    if (holder == holder_.holder() || lease.outstanding() == 0)
      continue;
    hooks_.on_other_lease(entry.key, holder, budget::CountedUnder(row, holder));
    if (ask)
      hooks_.on_scarce(entry.key, holder, entry.TokensWaiting());
  }
}

void BudgetLeases::Commit(Entry& entry) {
  budget::Row row = *entry.row;
  budget::LeaseChange takeover;
  entry.finishing.clear();
  for (auto& [lost, recovery] : entry.recoveries) {
    budget::Recovered result =
        budget::RecoverLease(row, lost, recovery.reports);
    row = result.row;
    const budget::LeaseChange change = budget::ChangeFor(result);
    for (const auto& [router, tokens] : change.adopted)
      takeover.adopted[router] += tokens;
    for (const auto& [holder, settled] : change.took)
      takeover.took[holder] = settled;
    entry.finishing.push_back({lost, std::move(result), recovery.done});
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
                            holder_.Check()}};
  entry.sent_before = false;
  Send(entry);
}

void BudgetLeases::Send(Entry& entry) {
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
    OnStored(entry);
    return Pump(entry);
  }
  if (base::ErrorOf(status).code == base::Code::kStoreConflict) {
    ++counters_.conflicts;
    // Either row may have changed; OnRow() tells whether an earlier copy of
    // this write took effect.
    holder_.Refresh();
    entry.row.reset();
    return Read(entry);
  }
  if (base::ErrorOf(status).code == base::Code::kStoreUnavailable &&
      !entry.sent_before) {
    entry.lease.OnRejected();
    entry.transaction.reset();
    entry.finishing.clear();
  }
  entry.sent_before = true;
  OnStoreFailure(entry);
  Pump(entry);
}

// The write in entry.written has taken effect.
void BudgetLeases::OnStored(Entry& entry) {
  entry.written_at = now_;
  entry.recalled = false;
  std::vector<Entry::Finished> finished = std::move(entry.finishing);
  entry.finishing.clear();
  for (const Entry::Finished& recovery : finished) {
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
