#include "dandelionmill/routing/body_quarantine.h"

#include <algorithm>
#include <iterator>

namespace dandelionmill::routing {
namespace {

BodyQuarantine::Permission Wait() {
  return {BodyQuarantine::Permission::Kind::kWait, std::nullopt};
}

BodyQuarantine::Permission RunOnlyOn(const base::BackendId& backend) {
  return {BodyQuarantine::Permission::Kind::kRun, backend};
}

// Returns the backend servers on which a suspect may be rerun: those that it
// has not crashed and on which no related suspect is running, or all of
// `usable` if there are none.
std::vector<base::BackendId> Targets(
    const QuarantineRecord& record,
    const std::vector<const QuarantineRecord*>& related,
    const std::vector<base::BackendId>& usable) {
  std::set<base::BackendId> avoided;
  for (const BodyRun& run : record.crashed)
    avoided.insert(run.backend);
  for (const QuarantineRecord* other : related) {
    for (const BodyRun& run : OpenRuns(*other))
      avoided.insert(run.backend);
  }
  std::vector<base::BackendId> targets;
  std::copy_if(
      usable.begin(), usable.end(), std::back_inserter(targets),
      [&](const base::BackendId& id) { return avoided.count(id) == 0; });
  return targets.empty() ? usable : targets;
}

}  // namespace

void BodyQuarantine::OnSent(const std::string& body,
                            const base::BackendId& backend) {
  if (body.empty() || harmless_.count(body) > 0)
    return;
  running_[body] = {backend, router_id_ + "#" + std::to_string(++last_run_)};
}

void BodyQuarantine::OnCrashed(const std::string& body, base::MonoTime now) {
  const auto run = running_.find(body);
  if (run == running_.end())
    return;
  table_.AddCrash(body, run->second, now + quarantine_duration_);
  running_.erase(run);
  // Time for the record to reach all routers and for their replies about runs
  // in progress to come back.
  held_until_[body] = now + 2 * kMaxPropagationDelay;
  changed_.insert(body);
}

void BodyQuarantine::OnCompleted(const std::string& body) {
  running_.erase(body);
  if (body.empty())
    return;
  if (table_.Clear(body))
    changed_.insert(body);
  held_until_.erase(body);
  if (!harmless_.insert(body).second)
    return;
  harmless_order_.push_back(body);
  if (harmless_order_.size() > kMaxHarmless) {
    harmless_.erase(harmless_order_.front());
    harmless_order_.pop_front();
  }
}

void BodyQuarantine::OnInconclusive(const std::string& body) {
  const auto run = running_.find(body);
  if (run == running_.end())
    return;
  if (table_.ClearRun(body, run->second))
    changed_.insert(body);
  running_.erase(run);
}

void BodyQuarantine::Expire(base::MonoTime now) {
  table_.Expire(now);
  for (auto it = held_until_.begin(); it != held_until_.end();) {
    if (table_.Find(it->first) == nullptr)
      it = held_until_.erase(it);
    else
      ++it;
  }
}

void BodyQuarantine::Merge(const QuarantineRecord& record, base::MonoTime now) {
  if (!table_.Merge(record))
    return;
  const std::string& body = record.body_sha256;
  const auto run = running_.find(body);
  if (run != running_.end() && table_.AddInProgress(body, run->second))
    changed_.insert(body);
  if (table_.StatusOf(body, now) == QuarantineStatus::kSuspect &&
      held_until_.count(body) == 0)
    held_until_[body] = now + kRemoteSuspectHold;
}

std::vector<QuarantineRecord> BodyQuarantine::TakeChangedRecords() {
  std::vector<QuarantineRecord> records;
  for (const std::string& body : changed_) {
    if (const QuarantineRecord* record = table_.Find(body))
      records.push_back(*record);
  }
  changed_.clear();
  return records;
}

BodyQuarantine::Permission BodyQuarantine::PermissionFor(
    const std::string& body,
    const std::vector<base::BackendId>& usable,
    base::MonoTime now) const {
  if (body.empty())
    return {};
  switch (StatusOf(body, now)) {
    case QuarantineStatus::kQuarantined:
      return {Permission::Kind::kRefuse, std::nullopt};
    case QuarantineStatus::kSuspect:
      return PermissionForSuspect(body, usable, now);
    case QuarantineStatus::kClean:
      break;
  }
  return running_.count(body) > 0 ? Wait() : Permission{};
}

BodyQuarantine::Permission BodyQuarantine::PermissionForSuspect(
    const std::string& body,
    const std::vector<base::BackendId>& usable,
    base::MonoTime now) const {
  const auto hold = held_until_.find(body);
  if (running_.count(body) > 0 ||
      (hold != held_until_.end() && now <= hold->second))
    return Wait();
  const QuarantineRecord& record = *table_.Find(body);
  if (!OpenRuns(record).empty() && hold != held_until_.end() &&
      now <= hold->second + kRemoteSuspectHold)
    return Wait();

  const auto related = table_.WithSameBackend(record);
  const std::vector<base::BackendId> targets = Targets(record, related, usable);
  if (targets.empty())
    return Wait();

  // Routers with the same records and backend servers assign the suspects of a
  // crash to the same targets, one suspect per target. Surplus suspects wait
  // until the earlier suspects on their target have been cleared or
  // quarantined.
  const auto rank = static_cast<std::size_t>(std::distance(
      related.begin(), std::find(related.begin(), related.end(), &record)));
  const std::size_t turn = rank / targets.size();
  const base::MonoTime latest =
      (hold == held_until_.end() ? now : hold->second) +
      kTurnTimeout * static_cast<int>(turn);
  for (std::size_t i = rank % targets.size(); i < rank && now < latest;
       i += targets.size()) {
    if (routing::StatusOf(*related[i]) == QuarantineStatus::kSuspect)
      return Wait();
  }
  return RunOnlyOn(targets[rank % targets.size()]);
}

QuarantineStatus BodyQuarantine::StatusOf(const std::string& body,
                                          base::MonoTime now) const {
  // A body that has completed before is not suspected for running during a
  // crash.
  const QuarantineStatus standing = table_.StatusOf(body, now);
  if (standing == QuarantineStatus::kSuspect && harmless_.count(body) > 0)
    return QuarantineStatus::kClean;
  return standing;
}

std::chrono::milliseconds BodyQuarantine::Remaining(const std::string& body,
                                                    base::MonoTime now) const {
  const QuarantineRecord* record = table_.Find(body);
  if (record == nullptr)
    return std::chrono::milliseconds{0};
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      record->expires_at - now);
}

}  // namespace dandelionmill::routing
