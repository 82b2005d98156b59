#include "dandelionmill/ctl/commit.h"

#include <thread>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/ctl/budget_rows.h"

namespace dandelionmill::ctl {
namespace {

using std::chrono::milliseconds;

constexpr int kAttempts = 20;  // of one store operation
constexpr milliseconds kRetryPause{250};
constexpr int kMaxRounds = 50;           // merges before giving up
constexpr int kChangeIdLength = 16;      // random letters
constexpr std::size_t kMaxWrites = 100;  // of one transaction
constexpr std::size_t kMaxGrants = kMaxWrites - 2;

// What a round of a commit sets out to write.
struct Plan {
  Accepted accepted;
  inventory::Document current;
  inventory::Document desired;
  std::vector<inventory::Change> merged;
};

enum class Ending { kCommitted, kHeadMoved };

// The operation of committing one request.
class Committer {
 public:
  Committer(Stores stores, const ChangeRequest& request)
      : stores_(stores),
        request_(request),
        change_id_(base::RandomToken(kChangeIdLength)) {}

  base::Result<CommitOutcome> Run();

 private:
  base::Result<std::variant<Plan, Conflict>> MakePlan();
  base::Result<std::variant<Plan, Conflict>> MakeMerge(Plan plan);
  base::Status PutParts(const inventory::Parts& parts,
                        const inventory::Head& current);
  base::Result<Grants> CreateRows(Grants grants);
  base::Result<Ending> Write(const Plan& plan, const inventory::Head& head);
  base::Result<Ending> CommitHead(const Accepted& accepted,
                                  const inventory::Head& head,
                                  const Grants& grants);
  base::Result<storage::Transaction> Prepare(const Accepted& accepted,
                                             const inventory::Head& head,
                                             const Grants& grants);

  const Stores stores_;
  const ChangeRequest& request_;
  const std::string change_id_;
};

bool IsPassing(const base::Error& error) {
  return error.code == base::Code::kStoreUnavailable ||
         error.code == base::Code::kStoreOutcomeUnknown;
}

// Repeats `call`, which must be safe to repeat, while the store fails.
template <class Call>
auto Persist(Call call) {
  auto result = call();
  for (int i = 1;
       i < kAttempts && !base::IsOk(result) && IsPassing(base::ErrorOf(result));
       ++i) {
    std::this_thread::sleep_for(kRetryPause);
    result = call();
  }
  return result;
}

base::Result<CommitOutcome> Committer::Run() {
  for (int round = 0; round < kMaxRounds; ++round) {
    auto made = MakePlan();
    if (!base::IsOk(made))
      return base::ErrorOf(made);
    if (const auto* conflict = std::get_if<Conflict>(&base::ValueOf(made)))
      return *conflict;
    const Plan& plan = std::get<Plan>(base::ValueOf(made));
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
    const base::Result<Ending> ending = Write(plan, head);
    if (!base::IsOk(ending))
      return base::ErrorOf(ending);
    if (base::ValueOf(ending) == Ending::kCommitted)
      return Committed{head.version, std::move(changes), plan.merged};
  }
  return base::Error{base::Code::kConfigConflict,
                     "others keep committing first"};
}

base::Result<std::variant<Plan, Conflict>> Committer::MakePlan() {
  Plan plan;
  auto accepted = Persist([this] { return ReadAccepted(stores_.table); });
  if (!base::IsOk(accepted))
    return base::ErrorOf(accepted);
  plan.accepted = base::ValueOf(std::move(accepted));
  auto current = Persist(
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
  return MakeMerge(std::move(plan));
}

base::Result<std::variant<Plan, Conflict>> Committer::MakeMerge(Plan plan) {
  inventory::Document base;
  if (request_.base != 0) {
    const auto head =
        Persist([this] { return ReadHistory(stores_.table, request_.base); });
    if (!base::IsOk(head))
      return base::ErrorOf(head);
    auto read = Persist(
        [&] { return ReadDocument(stores_.objects, base::ValueOf(head)); });
    if (!base::IsOk(read))
      return base::ErrorOf(read);
    base = base::ValueOf(std::move(read));
  }
  const std::vector<inventory::Change> ours =
      inventory::Diff(base, request_.desired);
  std::vector<inventory::Change> theirs = inventory::Diff(base, plan.current);
  std::vector<std::string> overlap = inventory::Overlap(ours, theirs);
  if (!request_.merge || !overlap.empty())
    return Conflict{plan.accepted.head, std::move(theirs), std::move(overlap)};
  base::Result<inventory::Document> merged =
      inventory::WithChanges(plan.current, ours);
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
    const base::Status put = Persist([&, &part = text] {
      return stores_.objects.Put(inventory::PartObject(sha256), part);
    });
    if (!base::IsOk(put))
      return put;
  }
  return base::Unit{};
}

// Creates the rows of budgets that have none, outside the transaction: a row
// that no configuration names is never drawn on. Returns the grants left.
base::Result<Grants> Committer::CreateRows(Grants grants) {
  Grants left;
  while (!grants.empty()) {
    storage::Transaction transaction;
    Grants batch;
    while (!grants.empty() && batch.size() < kMaxWrites)
      batch.insert(grants.extract(grants.begin()));
    for (const auto& [key, granted] : batch)
      transaction.writes.push_back(CreateRow(key, granted));
    const base::Status created =
        Persist([&] { return stores_.table.Commit(transaction); });
    if (base::IsOk(created))
      continue;
    if (base::ErrorOf(created).code != base::Code::kStoreConflict)
      return base::ErrorOf(created);
    left.merge(batch);
  }
  return left;
}

base::Result<Ending> Committer::Write(const Plan& plan,
                                      const inventory::Head& head) {
  Grants grants = ChangedGrants(plan.current, plan.desired);
  if (grants.size() > kMaxGrants) {
    base::Result<Grants> left = CreateRows(std::move(grants));
    if (!base::IsOk(left))
      return base::ErrorOf(left);
    grants = base::ValueOf(std::move(left));
  }
  if (grants.size() > kMaxGrants)
    return base::Error{base::Code::kBadInventory,
                       "the change sets the grants of " +
                           std::to_string(grants.size()) +
                           " budgets that have rows; allowed: up to " +
                           std::to_string(kMaxGrants) + " in one change"};
  return CommitHead(plan.accepted, head, grants);
}

base::Result<storage::Transaction> Committer::Prepare(
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
        SetGrant(stores_.table, key, granted);
    if (!base::IsOk(write))
      return base::ErrorOf(write);
    transaction.writes.push_back(base::ValueOf(std::move(write)));
  }
  return transaction;
}

base::Result<Ending> Committer::CommitHead(const Accepted& accepted,
                                           const inventory::Head& head,
                                           const Grants& grants) {
  // Whether an earlier attempt may have taken effect, or still may.
  bool unsettled = false;
  base::Error last;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    if (attempt > 0)
      std::this_thread::sleep_for(kRetryPause);
    // Reading back comes first: another attempt would only conflict with ours.
    const auto winner = ReadHistory(stores_.table, head.version);
    if (base::IsOk(winner))
      return base::ValueOf(winner).change_id == change_id_ ? Ending::kCommitted
                                                           : Ending::kHeadMoved;
    last = base::ErrorOf(winner);
    if (last.code != base::Code::kNotFound)
      continue;
    const auto transaction = Prepare(accepted, head, grants);
    if (!base::IsOk(transaction)) {
      last = base::ErrorOf(transaction);
      if (IsPassing(last) || unsettled)
        continue;
      return last;
    }
    const base::Status committed =
        stores_.table.Commit(base::ValueOf(transaction));
    if (base::IsOk(committed))
      return Ending::kCommitted;
    last = base::ErrorOf(committed);
    unsettled = unsettled || last.code == base::Code::kStoreOutcomeUnknown;
  }
  if (unsettled)
    return base::Error{base::Code::kStoreOutcomeUnknown,
                       "change " + change_id_ + " to version " +
                           std::to_string(head.version) +
                           " may have been accepted; see history"};
  return last;
}

}  // namespace

base::Result<CommitOutcome> CommitChange(Stores stores,
                                         const ChangeRequest& request) {
  return Committer(stores, request).Run();
}

}  // namespace dandelionmill::ctl
