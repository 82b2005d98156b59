#include "dandelionmill/ctl/commit.h"

#include <thread>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/ctl/budget_rows.h"

namespace dandelionmill::ctl {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxStoreAttempts = 20;  // per store operation
constexpr milliseconds kRetryDelay{250};
constexpr int kMaxCommitRounds = 50;  // retries after losing to other commits
constexpr int kChangeIdLength = 16;   // random characters
// The platform's limit per transaction.
constexpr std::size_t kMaxTransactionWrites = 100;
// The head row and the history row take two writes.
constexpr std::size_t kMaxGrantWrites = kMaxTransactionWrites - 2;

// What one round of a commit writes, and the version that it is based on.
struct Plan {
  Accepted accepted;
  inventory::Document current;
  inventory::Document desired;
  std::vector<inventory::Change> merged;
};

// Outcome of writing a head: kHeadMoved when another change took its version.
enum class HeadOutcome { kCommitted, kHeadMoved };

// Commits one request; used once.
class Committer {
 public:
  Committer(Stores stores, const ChangeRequest& request)
      : stores_(stores),
        request_(request),
        change_id_(base::RandomToken(kChangeIdLength)) {}

  base::Result<CommitOutcome> Run();

 private:
  base::Result<std::variant<Plan, Conflict>> MakePlan();
  base::Result<std::variant<Plan, Conflict>> PlanMerge(Plan plan);
  base::Status PutParts(const inventory::Parts& parts,
                        const inventory::Head& current);
  base::Result<Grants> CreateRows(Grants grants);
  base::Result<HeadOutcome> Write(const Plan& plan,
                                  const inventory::Head& head);
  base::Result<HeadOutcome> CommitHead(const Accepted& accepted,
                                       const inventory::Head& head,
                                       const Grants& grants);
  base::Result<storage::Transaction> BuildTransaction(
      const Accepted& accepted,
      const inventory::Head& head,
      const Grants& grants);

  const Stores stores_;
  const ChangeRequest& request_;
  const std::string change_id_;
};

bool IsTransient(const base::Error& error) {
  return error.code == base::Code::kStoreUnavailable ||
         error.code == base::Code::kStoreOutcomeUnknown;
}

// Retries `call`, which must be idempotent, on transient store errors. Returns
// the last result after kMaxStoreAttempts.
template <class Call>
auto RetryTransient(Call call) {
  auto result = call();
  for (int i = 1; i < kMaxStoreAttempts && !base::IsOk(result) &&
                  IsTransient(base::ErrorOf(result));
       ++i) {
    std::this_thread::sleep_for(kRetryDelay);
    result = call();
  }
  return result;
}

base::Result<CommitOutcome> Committer::Run() {
  for (int round = 0; round < kMaxCommitRounds; ++round) {
    auto planned = MakePlan();
    if (!base::IsOk(planned))
      return base::ErrorOf(planned);
    if (const auto* conflict = std::get_if<Conflict>(&base::ValueOf(planned)))
      return *conflict;
    const Plan& plan = std::get<Plan>(base::ValueOf(planned));
    std::vector<inventory::Change> changes =
        inventory::Diff(plan.current, plan.desired);
    if (changes.empty())
      return Unchanged{plan.accepted.head.version};
    const inventory::Parts parts = inventory::SplitParts(plan.desired);
    const base::Status put = PutParts(parts, plan.accepted.head);
    if (!base::IsOk(put))
      return base::ErrorOf(put);
    inventory::Head head;
    head.version = plan.accepted.head.version + 1;
    head.parts = inventory::DigestsOf(parts);
    head.author = request_.author;
    head.summary = request_.summary;
    head.at_unix_ms =
        std::chrono::duration_cast<milliseconds>(request_.at.time_since_epoch())
            .count();
    head.change_id = change_id_;
    const base::Result<HeadOutcome> outcome = Write(plan, head);
    if (!base::IsOk(outcome))
      return base::ErrorOf(outcome);
    if (base::ValueOf(outcome) == HeadOutcome::kCommitted)
      return Committed{head.version, std::move(changes), plan.merged};
  }
  return base::Error{base::Code::kConfigConflict,
                     "other operators committed first in every attempt"};
}

base::Result<std::variant<Plan, Conflict>> Committer::MakePlan() {
  Plan plan;
  auto accepted =
      RetryTransient([this] { return ReadAccepted(stores_.table); });
  if (!base::IsOk(accepted))
    return base::ErrorOf(accepted);
  plan.accepted = base::ValueOf(std::move(accepted));
  auto current = RetryTransient(
      [&] { return ReadDocument(stores_.objects, plan.accepted.head); });
  if (!base::IsOk(current))
    return base::ErrorOf(current);
  plan.current = base::ValueOf(std::move(current));
  plan.desired = request_.desired;
  const bool is_based_on_newest =
      plan.accepted.head.version == request_.base ||
      inventory::Diff(plan.current, plan.desired).empty();
  if (is_based_on_newest)
    return plan;
  return PlanMerge(std::move(plan));
}

base::Result<std::variant<Plan, Conflict>> Committer::PlanMerge(Plan plan) {
  inventory::Document base;
  if (request_.base != 0) {
    const auto head = RetryTransient(
        [this] { return ReadHistoryHead(stores_.table, request_.base); });
    if (!base::IsOk(head))
      return base::ErrorOf(head);
    auto read = RetryTransient(
        [&] { return ReadDocument(stores_.objects, base::ValueOf(head)); });
    if (!base::IsOk(read))
      return base::ErrorOf(read);
    base = base::ValueOf(std::move(read));
  }
  const std::vector<inventory::Change> ours =
      inventory::Diff(base, request_.desired);
  std::vector<inventory::Change> theirs = inventory::Diff(base, plan.current);
  std::vector<std::string> overlap =
      inventory::FindConflictingPaths(ours, theirs);
  if (!request_.merge || !overlap.empty())
    return Conflict{plan.accepted.head, std::move(theirs), std::move(overlap)};
  base::Result<inventory::Document> merged =
      inventory::ApplyChanges(plan.current, ours);
  if (!base::IsOk(merged))
    return base::ErrorOf(merged);
  plan.desired = base::ValueOf(std::move(merged));
  plan.merged = std::move(theirs);
  return plan;
}

base::Status Committer::PutParts(const inventory::Parts& parts,
                                 const inventory::Head& current) {
  for (const auto& [name, text] : parts) {
    const std::string sha256 = base::Sha256Hex(text);
    const auto stored = current.parts.find(name);
    if (stored != current.parts.end() && stored->second == sha256)
      continue;
    const base::Status put = RetryTransient([&, &part = text] {
      return stores_.objects.Put(inventory::PartObjectName(sha256), part);
    });
    if (!base::IsOk(put))
      return put;
  }
  return base::Unit{};
}

// Creates the rows of new budgets in batches ahead of the commit, which is safe
// because no holder draws on a budget before a configuration names it. Returns
// the grants of the batches in which a row already existed.
base::Result<Grants> Committer::CreateRows(Grants grants) {
  Grants remaining;
  while (!grants.empty()) {
    storage::Transaction transaction;
    Grants batch;
    while (!grants.empty() && batch.size() < kMaxTransactionWrites)
      batch.insert(grants.extract(grants.begin()));
    for (const auto& [key, granted] : batch)
      transaction.writes.push_back(MakeRowCreation(key, granted));
    const base::Status created =
        RetryTransient([&] { return stores_.table.Commit(transaction); });
    if (base::IsOk(created))
      continue;
    if (base::ErrorOf(created).code != base::Code::kStoreConflict)
      return base::ErrorOf(created);
    remaining.merge(batch);
  }
  return remaining;
}

base::Result<HeadOutcome> Committer::Write(const Plan& plan,
                                           const inventory::Head& head) {
  Grants grants = ChangedGrants(plan.current, plan.desired);
  if (grants.size() > kMaxGrantWrites) {
    base::Result<Grants> remaining = CreateRows(std::move(grants));
    if (!base::IsOk(remaining))
      return base::ErrorOf(remaining);
    grants = base::ValueOf(std::move(remaining));
  }
  if (grants.size() > kMaxGrantWrites)
    return base::Error{base::Code::kBadInventory,
                       "the change sets the grants of " +
                           std::to_string(grants.size()) +
                           " budgets that have rows; allowed: up to " +
                           std::to_string(kMaxGrantWrites) + " in one change"};
  return CommitHead(plan.accepted, head, grants);
}

base::Result<storage::Transaction> Committer::BuildTransaction(
    const Accepted& accepted,
    const inventory::Head& head,
    const Grants& grants) {
  storage::Transaction transaction;
  const std::string value = inventory::ToJson(head);
  transaction.writes.push_back(
      {inventory::kHeadKey, accepted.row_version, value});
  transaction.writes.push_back({inventory::HistoryKey(head.version), 0, value});
  for (const auto& [key, granted] : grants) {
    base::Result<storage::RowWrite> write =
        MakeGrantUpdate(stores_.table, key, granted);
    if (!base::IsOk(write))
      return base::ErrorOf(write);
    transaction.writes.push_back(base::ValueOf(std::move(write)));
  }
  return transaction;
}

base::Result<HeadOutcome> Committer::CommitHead(const Accepted& accepted,
                                                const inventory::Head& head,
                                                const Grants& grants) {
  // Whether an earlier attempt may have taken effect or may still do so.
  bool outcome_unknown = false;
  base::Error last;
  for (int attempt = 0; attempt < kMaxStoreAttempts; ++attempt) {
    if (attempt > 0)
      std::this_thread::sleep_for(kRetryDelay);
    // Read back first: if an earlier attempt took effect, a further one would
    // conflict with it.
    const auto stored = ReadHistoryHead(stores_.table, head.version);
    if (base::IsOk(stored))
      return base::ValueOf(stored).change_id == change_id_
                 ? HeadOutcome::kCommitted
                 : HeadOutcome::kHeadMoved;
    last = base::ErrorOf(stored);
    if (last.code != base::Code::kNotFound)
      continue;
    const auto transaction = BuildTransaction(accepted, head, grants);
    if (!base::IsOk(transaction)) {
      last = base::ErrorOf(transaction);
      if (IsTransient(last) || outcome_unknown)
        continue;
      return last;
    }
    const base::Status committed =
        stores_.table.Commit(base::ValueOf(transaction));
    if (base::IsOk(committed))
      return HeadOutcome::kCommitted;
    last = base::ErrorOf(committed);
    outcome_unknown =
        outcome_unknown || last.code == base::Code::kStoreOutcomeUnknown;
  }
  if (outcome_unknown)
    return base::Error{
        base::Code::kStoreOutcomeUnknown,
        "change " + change_id_ + " to version " + std::to_string(head.version) +
            " may have been accepted; check with dandelionctl history"};
  return last;
}

}  // namespace

base::Result<CommitOutcome> CommitChange(Stores stores,
                                         const ChangeRequest& request) {
  return Committer(stores, request).Run();
}

}  // namespace dandelionmill::ctl
