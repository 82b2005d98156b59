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

// Totals that one transaction completes after a restore, and that are read for
// it at the same time.
constexpr std::size_t kMaxCompletedTotals = 10;

// How often a stored total that cannot be decoded is read again.
constexpr std::chrono::milliseconds kUnreadableRetryInterval{1000};

// Time without a reservation after which borrowed tokens are given back.
constexpr std::chrono::milliseconds kBorrowedIdleTime{1000};

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
  return std::max<base::Tokens>(0, prepaid->second - total->second.row.drawn);
}

bool TokenPool::IsWrittenOff(const base::AccountId& account,
                             base::Tokens tokens) const {
  const auto total = totals_.find(account);
  return total != totals_.end() && total->second.row.written_off > 0 &&
         Undrawn(account) + ledger_.Remaining(account) +
                 total->second.row.written_off >=
             tokens;
}

std::vector<Ledger::AccountView> TokenPool::AccountViews() const {
  std::vector<Ledger::AccountView> views;
  for (const auto& [account, prepaid] : prepaid_) {
    const auto total = totals_.find(account);
    Ledger::AccountView view;
    view.account = account;
    view.prepaid = prepaid;
    view.drawn = total == totals_.end() ? 0 : total->second.row.drawn;
    view.is_owner = IsOwner(account);
    view.may_draw = IsOpen(account) &&
                    (view.is_owner ||
                     std::chrono::steady_clock::now() >= draws_paused_until_);
    view.may_change_total =
        total == totals_.end() || !total->second.unreadable_at;
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
  GiveBackUnused();
  if (is_committing_) {
    tick_pending_ = true;
    return;
  }
  if (prepaid_.empty() || on_returned_)
    return;
  if (!has_read_row_) {
    ReadHolderRow();
    return;
  }
  contributions_.Expire(EstimateStoreTime());
  UpdatePredecessor();
  ReadMissingTotals();
  Ledger::Proposal proposal =
      is_returning_
          ? ledger_.ProposeReturn(EstimateStoreTime(), UnreadableTotals())
          : ledger_.Propose(
                AccountViews(), EstimateStoreTime(), base::BootClock::now(),
                consecutive_conflicts_ >= kConflictsUntilSingleAccount
                    ? std::optional(consecutive_conflicts_)
                    : std::nullopt);
  if (!IsIdle(proposal))
    CommitProposal(std::move(proposal));
}

void TokenPool::ReadHolderRow() {
  is_committing_ = true;
  table_.ReadRow(
      HolderKey(), kStoreTimeout, [this](const storage::TableResponse& answer) {
        is_committing_ = false;
        OnAnswer(answer);
        if (answer.outcome == storage::CallOutcome::kDone && CheckEra(answer)) {
          has_read_row_ = true;
          for (const storage::VersionedRow& row : answer.rows)
            ApplyHolderRow(row);
          tick_pending_ = true;
        }
        ContinueAfterCommit();
      });
}

void TokenPool::CheckStore() {
  row_stored_at_ = base::MonoTime();
  Tick();
}

bool TokenPool::IsIdle(const Ledger::Proposal& proposal) const {
  if (!proposal.moves.empty() || !waiters_.empty() || !in_doubt_.empty() ||
      last_commit_failed_ || !predecessor_.is_settled() ||
      !contributions_.AccountsBefore(era_.value_or(0)).empty())
    return false;
  // A row that leaves something to recover has to be renewed.
  const bool is_stored = std::equal(
      stored_shares_.begin(), stored_shares_.end(), proposal.row.shares.begin(),
      proposal.row.shares.end(), [](const auto& stored, const auto& proposed) {
        return stored.first == proposed.first &&
               stored.second.drawn == proposed.second.drawn &&
               stored.second.committed == stored.second.drawn &&
               proposed.second.committed == proposed.second.drawn;
      });
  return is_stored &&
         std::chrono::steady_clock::now() - row_stored_at_ < kIdleRowInterval;
}

TokenPool::Totals TokenPool::TotalsAfter(
    const Ledger::Proposal& proposal) const {
  Totals totals;
  for (const auto& [account, move] : proposal.moves) {
    totals[account] = AfterMove(CompleteTotal(account), ledger_.process(), move,
                                proposal.row.sequence, proposal.row.as_of);
  }
  const std::size_t max_totals =
      consecutive_conflicts_ >= kConflictsUntilSingleAccount
          ? 1
          : kMaxCompletedTotals;
  for (const base::AccountId& account :
       contributions_.AccountsBefore(era_.value_or(0))) {
    if (totals.size() >= max_totals)
      break;
    if (totals.count(account) == 0 && IsTotalIncomplete(account))
      totals[account] = CompleteTotal(account);
  }
  SettlePredecessor(proposal, max_totals, totals);
  for (auto& [account, row] : totals) {
    if (IsOpen(account))
      row.era = era_.value_or(0);
  }
  return totals;
}

void TokenPool::UpdatePredecessor() {
  if (predecessor_.is_settled())
    return;
  predecessor_.SetAccounts(prepaid_, std::chrono::steady_clock::now());
  for (const auto& [account, total] : totals_) {
    if (total.is_known)
      predecessor_.Observe(account, total.row, era_.value_or(0));
  }
}

void TokenPool::SettlePredecessor(const Ledger::Proposal& proposal,
                                  std::size_t max_totals,
                                  Totals& totals) const {
  for (const base::AccountId& account : predecessor_.unsettled()) {
    const auto known = totals_.find(account);
    const auto prepaid = prepaid_.find(account);
    if (known == totals_.end() || !known->second.is_known ||
        prepaid == prepaid_.end() ||
        (totals.count(account) == 0 && totals.size() >= max_totals))
      continue;
    AccountRow& row =
        totals.try_emplace(account, CompleteTotal(account)).first->second;
    row = predecessor_.Settle(account, std::move(row), prepaid->second,
                              era_.value_or(0), ledger_.process(),
                              proposal.row.sequence, proposal.row.as_of);
  }
}

storage::RowChange TokenPool::MakeChange(const Ledger::Proposal& proposal,
                                         const Totals& totals) const {
  storage::RowChange change;
  change.expected.push_back({HolderKey(), holder_version_});
  change.puts.push_back({HolderKey(), Encode(proposal.row)});
  for (const auto& [account, row] : totals) {
    const auto found = totals_.find(account);
    change.expected.push_back({TotalKey(account), found == totals_.end()
                                                      ? 0
                                                      : found->second.version});
    change.puts.push_back({TotalKey(account), Encode(row)});
  }
  return change;
}

void TokenPool::CommitProposal(Ledger::Proposal proposal) {
  is_committing_ = true;
  row_era_ = settled_era().value_or(row_era_);
  proposal.row.era = row_era_;
  proposal.row.unsettled = predecessor_.listed();
  Totals totals = TotalsAfter(proposal);
  storage::RowChange change = MakeChange(proposal, totals);
  table_.Commit(std::move(change), kStoreTimeout,
                [this, proposal = std::move(proposal),
                 totals = std::move(totals)](storage::TableResponse answer) {
                  OnCommitAnswer(proposal, totals, std::move(answer));
                });
}

void TokenPool::OnCommitAnswer(const Ledger::Proposal& proposal,
                               const Totals& totals,
                               storage::TableResponse answer) {
  is_committing_ = false;
  // What an earlier era acknowledged may be lost.
  if (!CheckEra(answer))
    answer.outcome = storage::CallOutcome::kUnknown;
  OnAnswer(answer);
  switch (answer.outcome) {
    case storage::CallOutcome::kDone:
      holder_version_ = answer.version;
      for (const auto& [account, row] : totals) {
        if (predecessor_.unsettled().count(account) != 0) {
          log::Event(log::Level::kWarning, "prepaid_settled")
              .With("account", account)
              .With("written_off", row.written_off)
              .With("era", row.written_off_era);
        }
        UpdateTotal(account, answer.version, row);
        predecessor_.OnSettled(account);
      }
      OnProposalStored(proposal);
      break;
    case storage::CallOutcome::kConflict:
      OnCommitConflict(proposal, totals, answer);
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

void TokenPool::OnAnswer(const storage::TableResponse& answer) {
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
}

void TokenPool::OnProposalStored(const Ledger::Proposal& proposal) {
  consecutive_conflicts_ = 0;
  has_stored_row_ = true;
  stored_shares_ = proposal.row.shares;
  row_stored_at_ = std::chrono::steady_clock::now();
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
                                 const Totals& totals,
                                 const storage::TableResponse& answer) {
  ledger_.OnDropped(proposal);
  bool has_holder_row = false;
  // The answer may leave out rows that do not exist, so the totals of the
  // proposal are reset first.
  for (const auto& [account, row] : totals)
    UpdateTotal(account, 0, AccountRow());
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
        .With("instance", instance_)
        .With(base::ErrorOf(decoded));
    if (!has_stored_row_)
      RecoverFromPredecessor(UnknownPredecessorRow());
    return;
  }
  const HolderRow& stored = base::ValueOf(decoded);
  if (stored.process != ledger_.process()) {
    // A restored store may have a row again that was recovered from before.
    if (!has_stored_row_)
      RecoverFromPredecessor(stored);
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

HolderRow TokenPool::UnknownPredecessorRow() const {
  HolderRow row;
  for (const auto& [account, prepaid] : prepaid_)
    row.shares[account] = HolderShare();
  return row;
}

void TokenPool::RecoverFromPredecessor(const HolderRow& stored) {
  const bool is_outdated = stored.era < era_.value_or(0);
  base::Tokens uncommitted = 0;
  for (const auto& [account, share] : stored.shares)
    uncommitted += share.drawn - share.committed;
  if (is_outdated) {
    predecessor_ = LostPredecessor(stored, EstimateStoreTime(),
                                   std::chrono::steady_clock::now());
  } else {
    recovered_row_ = stored;
  }
  // What the predecessor stored after an outdated row is not known.
  const base::Tokens recovered =
      is_outdated ? 0 : ledger_.Recover(stored, EstimateStoreTime());
  log::Event(log::Level::kInfo, "prepaid_recovered")
      .With("from_process", stored.process)
      .With("row_era", stored.era)
      .With("row_age_ms", EstimateStoreTime() - stored.as_of)
      .With("left", uncommitted)
      .With("recovered", recovered)
      .With("is_outdated", is_outdated)
      .With("accounts", stored.shares.size());
}

void TokenPool::ApplyTotalRow(const storage::VersionedRow& row) {
  const auto decoded = DecodeAccountRow(row.value);
  const std::string account = row.key.part.substr(
      std::min(row.key.part.size(), sizeof(kAccountPart) - 1));
  if (!base::IsOk(decoded)) {
    log::Event(log::Level::kError, "prepaid_row_unreadable")
        .With("account", account)
        .With(base::ErrorOf(decoded));
    OnTotalUnreadable(base::AccountId(account));
    return;
  }
  UpdateTotal(base::AccountId(account), row.version, base::ValueOf(decoded));
}

void TokenPool::LogUnknownRow(const storage::RowKey& key) {
  if (!logged_unknown_rows_.insert(key.part + " " + key.key).second)
    return;
  log::Event(log::Level::kWarning, "prepaid_row_unknown")
      .With("part", key.part)
      .With("key", key.key);
}

void TokenPool::OnTotalUnreadable(const base::AccountId& account) {
  StoredTotal& total = totals_[account];
  total.version = 0;
  total.row = AccountRow();
  total.is_known = false;
  total.unreadable_at = std::chrono::steady_clock::now();
}

std::set<base::AccountId> TokenPool::UnreadableTotals() const {
  std::set<base::AccountId> accounts;
  for (const auto& [account, total] : totals_) {
    if (total.unreadable_at)
      accounts.insert(account);
  }
  return accounts;
}

void TokenPool::UpdateTotal(const base::AccountId& account,
                            std::uint64_t version,
                            const AccountRow& row) {
  StoredTotal& total = totals_[account];
  total.version = version;
  total.row = row;
  total.is_known = true;
  total.unreadable_at.reset();
  total.updated_at = std::chrono::steady_clock::now();
  recovered_row_.shares.erase(account);
  contributions_.Observe(account, row, era_.value_or(0));
  predecessor_.Observe(account, row, era_.value_or(0));
}

bool TokenPool::CheckEra(const storage::TableResponse& answer) {
  if (!answer.era || answer.era == era_)
    return true;
  if (era_ && *answer.era < *era_)
    return false;
  const bool is_restored = era_.has_value();
  era_ = answer.era;
  if (is_restored)
    OnStoreRestored(*answer.era);
  return true;
}

void TokenPool::OnStoreRestored(std::uint64_t era) {
  log::Event(log::Level::kWarning, "prepaid_totals_lost")
      .With("era", era)
      .With("known", contributions_.AccountsBefore(era).size())
      .With("in_doubt", in_doubt_.size());
  for (auto& [account, total] : totals_) {
    total.version = 0;
    total.row = AccountRow();
    total.is_known = false;
  }
  if (recovered_row_.shares.empty())
    return;
  predecessor_ =
      LostPredecessor(std::exchange(recovered_row_, HolderRow()),
                      EstimateStoreTime(), std::chrono::steady_clock::now());
}

AccountRow TokenPool::CompleteTotal(const base::AccountId& account) const {
  const auto total = totals_.find(account);
  const std::uint64_t era = era_.value_or(0);
  AccountRow row = contributions_.Complete(
      account, total == totals_.end() ? AccountRow() : total->second.row, era);
  if (contributions_.HasEarlier(account, era))
    row.completed_era = era;
  return row;
}

bool TokenPool::IsTotalIncomplete(const base::AccountId& account) const {
  const auto total = totals_.find(account);
  return total != totals_.end() && total->second.is_known &&
         contributions_.HasEarlier(account, era_.value_or(0));
}

bool TokenPool::IsOpen(const base::AccountId& account) const {
  const std::uint64_t era = era_.value_or(0);
  const auto total = totals_.find(account);
  const bool is_opened = total != totals_.end() && total->second.is_known &&
                         total->second.row.era >= era;
  return predecessor_.is_settled() &&
         (era == 0 || is_opened || fleet_settled_era_ >= era);
}

std::optional<std::uint64_t> TokenPool::settled_era() const {
  if (!contributions_.AccountsBefore(era_.value_or(0)).empty())
    return std::nullopt;
  if (!predecessor_.is_settled())
    return std::nullopt;
  return era_;
}

bool TokenPool::is_waiting_for_fleet() const {
  return std::any_of(
      prepaid_.begin(), prepaid_.end(),
      [this](const auto& account) { return !IsOpen(account.first); });
}

void TokenPool::ReadMissingTotals() {
  std::size_t reading = 0;
  std::vector<base::AccountId> needed =
      contributions_.AccountsBefore(era_.value_or(0));
  needed.insert(needed.end(), predecessor_.unsettled().begin(),
                predecessor_.unsettled().end());
  for (const auto& [account, share] : recovered_row_.shares)
    needed.push_back(account);
  const std::set<base::AccountId> unreadable = UnreadableTotals();
  needed.insert(needed.end(), unreadable.begin(), unreadable.end());
  for (const base::AccountId& account : needed) {
    const StoredTotal& total = totals_[account];
    if (total.is_known || IsReadPaused(total))
      continue;
    if (++reading > kMaxCompletedTotals)
      break;
    ReadTotal(account);
  }
}

bool TokenPool::IsReadPaused(const StoredTotal& total) {
  return total.unreadable_at &&
         std::chrono::steady_clock::now() - *total.unreadable_at <
             kUnreadableRetryInterval;
}

bool TokenPool::IsTotalFresh(const base::AccountId& account) const {
  const auto total = totals_.find(account);
  return total != totals_.end() && total->second.is_known &&
         std::chrono::steady_clock::now() - total->second.updated_at <
             kMaxTotalAge;
}

void TokenPool::ReadTotal(const base::AccountId& account) {
  StoredTotal& total = totals_[account];
  if (total.is_reading || IsReadPaused(total))
    return;
  total.is_reading = true;
  const storage::RowKey key = TotalKey(account);
  table_.Read(key.table, key.part, "", kStoreTimeout,
              [this, account](storage::TableResponse answer) {
                totals_[account].is_reading = false;
                if (!CheckEra(answer))
                  return;
                if (answer.outcome == storage::CallOutcome::kDone) {
                  bool has_total = false;
                  for (const storage::VersionedRow& row : answer.rows) {
                    if (row.key.key != kTotalKey) {
                      LogUnknownRow(row.key);
                      continue;
                    }
                    has_total = true;
                    ApplyTotalRow(row);
                  }
                  if (!has_total)
                    UpdateTotal(account, 0, AccountRow());
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
  if (prepaid_.empty() || last_commit_failed_ || !has_read_row_) {
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

void TokenPool::GiveBackUnused() {
  if (!peers_.give)
    return;
  for (const base::AccountId& account : ledger_.Accounts()) {
    if (IsOwner(account))
      continue;
    const base::Tokens tokens = ledger_.TakeUnusedBorrowed(
        account, kBorrowedIdleTime, base::BootClock::now());
    if (tokens == 0)
      continue;
    log::Event(log::Level::kInfo, "prepaid_given_back")
        .With("account", account)
        .With("tokens", tokens);
    peers_.give(account, tokens);
  }
}

void TokenPool::CommitReturnProposal() {
  ++return_attempts_;
  CommitProposal(
      ledger_.ProposeReturn(EstimateStoreTime(), UnreadableTotals()));
}

}  // namespace dandelionmill::prepaid
