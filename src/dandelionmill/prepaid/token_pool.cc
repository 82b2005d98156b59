#include "dandelionmill/prepaid/token_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/prepaid/rows.h"

namespace dandelionmill::prepaid {
namespace {

// Timeout of a store call. It covers a transaction over several parts of the
// table (twice the platform's stated time) when the store is fifty times slower
// than usual.
constexpr std::chrono::milliseconds kStoreTimeout{700};

// Maximum age of a stored total that decides whether an account is exhausted.
// Other instances return tokens about once a second.
constexpr std::chrono::milliseconds kMaxTotalAge{400};

// Consecutive conflicts after which the retry waits for the next tick, so that
// competing instances spread out.
constexpr int kConflictsUntilNextTick = 4;

// Consecutive conflicts after which a transaction moves tokens of only one
// account.
constexpr int kConflictsUntilSingleAccount = 2;

// After a conflict, an instance that does not own the account draws nothing for
// a random time of up to this value, doubled for each consecutive conflict up
// to kMaxPauseDoublings times. The store serializes the transactions of an
// account, and those of the owner, which serves all other instances, must
// succeed.
constexpr std::chrono::milliseconds kBaseDrawPause{50};
constexpr int kMaxPauseDoublings = 6;

// Maximum attempts to return the tokens at shutdown.
constexpr int kMaxReturnAttempts = 12;

}  // namespace

const char* ToString(ReserveOutcome outcome) {
  switch (outcome) {
    case ReserveOutcome::kReserved:
      return "reserved";
    case ReserveOutcome::kExhausted:
      return "exhausted";
    case ReserveOutcome::kUnavailable:
      return "unavailable";
  }
  return "unknown";
}

TokenPool::TokenPool(boost::asio::io_context& loop,
                     storage::AsyncTable& table,
                     std::string instance,
                     std::string process)
    : loop_(loop),
      table_(table),
      instance_(std::move(instance)),
      ledger_(std::move(process)),
      random_(base::StableHash(ledger_.process())),
      waiter_timer_(loop) {}

void TokenPool::SetAccounts(std::map<base::AccountId, base::Tokens> prepaid) {
  const bool changed = prepaid != prepaid_;
  prepaid_ = std::move(prepaid);
  if (changed)
    Tick();
}

std::chrono::milliseconds TokenPool::EstimateStoreTime() const {
  if (store_time_.count() == 0)
    return store_time_;
  return store_time_ +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - store_time_received_at_);
}

storage::RowKey TokenPool::HolderKey() const {
  return {kTable, kInstancePart + instance_, kHolderKey};
}

storage::RowKey TokenPool::TotalKey(const base::AccountId& account) {
  return {kTable, kAccountPart + account.value(), kTotalKey};
}

base::Tokens TokenPool::Undrawn(const base::AccountId& account) const {
  const auto prepaid = prepaid_.find(account);
  const auto total = totals_.find(account);
  if (prepaid == prepaid_.end() || total == totals_.end() ||
      !total->second.is_known)
    return 0;
  return std::max<base::Tokens>(0, prepaid->second - total->second.drawn);
}

std::vector<Ledger::AccountView> TokenPool::AccountViews() const {
  std::vector<Ledger::AccountView> views;
  for (const auto& [account, prepaid] : prepaid_) {
    const auto total = totals_.find(account);
    Ledger::AccountView view;
    view.account = account;
    view.prepaid = prepaid;
    view.drawn = total == totals_.end() ? 0 : total->second.drawn;
    view.is_owner = IsOwner(account);
    view.may_draw = view.is_owner ||
                    std::chrono::steady_clock::now() >= draws_paused_until_;
    for (const Waiter& waiter : waiters_) {
      if (waiter.account != account)
        continue;
      view.pending_tokens += waiter.tokens;
      if (ShouldDrawFor(waiter))
        view.pending_to_draw += waiter.tokens;
    }
    views.push_back(std::move(view));
  }
  return views;
}

void TokenPool::Tick() {
  if (is_committing_) {
    tick_pending_ = true;
    return;
  }
  if (prepaid_.empty() || on_returned_)
    return;
  CommitProposal(
      is_returning_
          ? ledger_.ProposeReturn(EstimateStoreTime())
          : ledger_.Propose(
                AccountViews(), EstimateStoreTime(), base::BootClock::now(),
                consecutive_conflicts_ >= kConflictsUntilSingleAccount
                    ? std::optional(consecutive_conflicts_)
                    : std::nullopt));
}

storage::RowChange TokenPool::MakeChange(
    const Ledger::Proposal& proposal) const {
  storage::RowChange change;
  change.expected.push_back({HolderKey(), holder_version_});
  change.puts.push_back({HolderKey(), Encode(proposal.row)});
  for (const auto& [account, move] : proposal.moves) {
    const auto found = totals_.find(account);
    const StoredTotal total =
        found == totals_.end() ? StoredTotal() : found->second;
    change.expected.push_back({TotalKey(account), total.version});
    change.puts.push_back(
        {TotalKey(account), Encode(AccountRow{total.drawn + move})});
  }
  return change;
}

void TokenPool::CommitProposal(Ledger::Proposal proposal) {
  is_committing_ = true;
  storage::RowChange change = MakeChange(proposal);
  table_.Commit(
      std::move(change), kStoreTimeout,
      [this, proposal = std::move(proposal)](storage::TableResponse answer) {
        OnCommitAnswer(proposal, std::move(answer));
      });
}

void TokenPool::OnCommitAnswer(const Ledger::Proposal& proposal,
                               storage::TableResponse answer) {
  is_committing_ = false;
  const bool failed = answer.outcome == storage::CallOutcome::kUnknown ||
                      answer.outcome == storage::CallOutcome::kNotPerformed;
  if (failed != last_commit_failed_) {
    log::Event(failed ? log::Level::kWarning : log::Level::kInfo,
               failed ? "prepaid_store_lost" : "prepaid_store_regained")
        .With("outcome", storage::ToString(answer.outcome))
        .With("detail", answer.detail);
  }
  last_commit_failed_ = failed;
  if (answer.store_time.count() != 0) {
    store_time_ = answer.store_time;
    store_time_received_at_ = std::chrono::steady_clock::now();
  }
  switch (answer.outcome) {
    case storage::CallOutcome::kDone:
      holder_version_ = answer.version;
      for (const auto& [account, move] : proposal.moves) {
        StoredTotal& total = totals_[account];
        UpdateTotal(total, answer.version, total.drawn + move);
      }
      OnProposalStored(proposal);
      break;
    case storage::CallOutcome::kConflict:
      OnCommitConflict(proposal, answer);
      break;
    case storage::CallOutcome::kUnknown:
    case storage::CallOutcome::kTooLarge:
      in_doubt_.push_back(proposal);
      break;
    case storage::CallOutcome::kHistoryGone:
    case storage::CallOutcome::kNotPerformed:
      ledger_.OnDropped(proposal);
      break;
  }
  ContinueAfterCommit();
}

void TokenPool::OnProposalStored(const Ledger::Proposal& proposal) {
  consecutive_conflicts_ = 0;
  ledger_.OnStored(proposal, base::BootClock::now());
  for (Waiter& waiter : waiters_)
    ++waiter.rows_stored;
  // The version of the holder row has changed, so the other proposals in doubt
  // can no longer be stored.
  for (const Ledger::Proposal& other : in_doubt_) {
    if (other.row.sequence != proposal.row.sequence)
      ledger_.OnDropped(other);
  }
  in_doubt_.clear();
  for (const auto& [account, move] : proposal.moves) {
    log::Event(log::Level::kInfo, "prepaid_moved")
        .With("account", account)
        .With("tokens", move)
        .With("held", ledger_.Held(account))
        .With("undrawn", Undrawn(account))
        .With("sequence", proposal.row.sequence);
  }
}

void TokenPool::OnCommitConflict(const Ledger::Proposal& proposal,
                                 const storage::TableResponse& answer) {
  ledger_.OnDropped(proposal);
  bool has_holder_row = false;
  // The answer may leave out rows that do not exist, so the totals of the
  // proposal are reset first.
  for (const auto& [account, move] : proposal.moves)
    UpdateTotal(totals_[account], 0, 0);
  for (const storage::VersionedRow& row : answer.rows) {
    if (row.deleted || row.version == 0)
      continue;
    if (row.key.key == kHolderKey) {
      has_holder_row = true;
      ApplyHolderRow(row);
    } else {
      ApplyTotalRow(row);
    }
  }
  if (!has_holder_row)
    holder_version_ = 0;
  ++consecutive_conflicts_;
  PauseDrawing();
  if (consecutive_conflicts_ % kConflictsUntilNextTick != 0)
    tick_pending_ = true;
}

void TokenPool::PauseDrawing() {
  const std::chrono::milliseconds max_pause =
      kBaseDrawPause *
      (1 << std::min(consecutive_conflicts_, kMaxPauseDoublings));
  std::uniform_int_distribution<std::int64_t> pause(0, max_pause.count());
  draws_paused_until_ = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(pause(random_));
}

void TokenPool::ApplyHolderRow(const storage::VersionedRow& row) {
  if (row.version == holder_version_)
    return;
  holder_version_ = row.version;
  const auto decoded = DecodeHolderRow(row.value);
  if (!base::IsOk(decoded)) {
    log::Event(log::Level::kError, "prepaid_row_unreadable")
        .With(base::ErrorOf(decoded));
    return;
  }
  const HolderRow& stored = base::ValueOf(decoded);
  if (stored.process != ledger_.process()) {
    base::Tokens uncommitted = 0;
    for (const auto& [account, share] : stored.shares)
      uncommitted += share.drawn - share.committed;
    log::Event(log::Level::kInfo, "prepaid_recovered")
        .With("from_process", stored.process)
        .With("row_age_ms", EstimateStoreTime() - stored.as_of)
        .With("left", uncommitted)
        .With("recovered", ledger_.Recover(stored, EstimateStoreTime()))
        .With("accounts", stored.shares.size());
    return;
  }
  const auto confirmed = std::find_if(
      in_doubt_.begin(), in_doubt_.end(),
      [&](const auto& other) { return other.row.sequence == stored.sequence; });
  if (confirmed != in_doubt_.end()) {
    log::Event(log::Level::kInfo, "prepaid_doubt_settled")
        .With("sequence", stored.sequence);
    const Ledger::Proposal settled = *confirmed;
    OnProposalStored(settled);
  }
}

void TokenPool::ApplyTotalRow(const storage::VersionedRow& row) {
  const auto decoded = DecodeAccountRow(row.value);
  const std::string account = row.key.part.substr(
      std::min(row.key.part.size(), sizeof(kAccountPart) - 1));
  if (!base::IsOk(decoded)) {
    log::Event(log::Level::kError, "prepaid_row_unreadable")
        .With("account", account)
        .With(base::ErrorOf(decoded));
    return;
  }
  UpdateTotal(totals_[base::AccountId(account)], row.version,
              base::ValueOf(decoded).drawn);
}

void TokenPool::UpdateTotal(StoredTotal& total,
                            std::uint64_t version,
                            base::Tokens drawn) {
  total.version = version;
  total.drawn = drawn;
  total.is_known = true;
  total.updated_at = std::chrono::steady_clock::now();
}

bool TokenPool::IsTotalFresh(const base::AccountId& account) const {
  const auto total = totals_.find(account);
  return total != totals_.end() && total->second.is_known &&
         std::chrono::steady_clock::now() - total->second.updated_at <
             kMaxTotalAge;
}

void TokenPool::ReadTotal(const base::AccountId& account) {
  StoredTotal& total = totals_[account];
  if (total.is_reading)
    return;
  total.is_reading = true;
  const storage::RowKey key = TotalKey(account);
  table_.Read(key.table, key.part, "", kStoreTimeout,
              [this, account](storage::TableResponse answer) {
                totals_[account].is_reading = false;
                if (answer.outcome == storage::CallOutcome::kDone) {
                  for (const storage::VersionedRow& row : answer.rows)
                    ApplyTotalRow(row);
                }
                Tick();
                ResolveWaiters();
              });
}

void TokenPool::ContinueAfterCommit() {
  ResolveWaiters();
  if (on_returned_) {
    // Other instances may move tokens at the same time, so a conflict is
    // retried.
    const bool had_conflict = consecutive_conflicts_ > 0;
    if (return_attempts_ == 0 ||
        (had_conflict && return_attempts_ < kMaxReturnAttempts)) {
      CommitReturnProposal();
    } else {
      std::exchange(on_returned_, nullptr)();
    }
    return;
  }
  if (std::exchange(tick_pending_, false) && !last_commit_failed_)
    Tick();
}

bool TokenPool::TryReserve(const base::AccountId& account,
                           base::Tokens tokens) {
  return !HasLimit(account) ||
         ledger_.TryReserve(account, tokens, base::BootClock::now());
}

bool TokenPool::IsOwner(const base::AccountId& account) const {
  return !peers_.is_owner || peers_.is_owner(account);
}

void TokenPool::Settle(const base::AccountId& account,
                       base::Tokens reserved,
                       base::Tokens used) {
  if (reserved > 0)
    ledger_.Settle(account, reserved, used);
}

void TokenPool::ReturnAll(std::function<void()> done) {
  if (prepaid_.empty() || last_commit_failed_) {
    GiveAllAvailable();
    boost::asio::post(loop_, std::move(done));
    return;
  }
  is_returning_ = true;
  return_attempts_ = 0;
  on_returned_ = std::move(done);
  if (!is_committing_)
    CommitReturnProposal();
}

void TokenPool::GiveAllAvailable() {
  if (!peers_.give)
    return;
  const base::BootTime now = base::BootClock::now();
  for (const base::AccountId& account : ledger_.Accounts()) {
    const base::Tokens tokens = ledger_.Available(account, now);
    if (tokens > 0 && ledger_.TryReserve(account, tokens, now)) {
      ledger_.GiveReserved(account, tokens);
      peers_.give(account, tokens);
    }
  }
}

void TokenPool::CommitReturnProposal() {
  ++return_attempts_;
  CommitProposal(ledger_.ProposeReturn(EstimateStoreTime()));
}

}  // namespace dandelionmill::prepaid
