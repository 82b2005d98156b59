#include "dandelionmill/routing/quarantine_table.h"

#include <algorithm>
#include <iterator>

namespace dandelionmill::routing {

bool QuarantineTable::AddCrash(const std::string& body_sha256,
                               const BodyRun& run,
                               base::MonoTime expires_at) {
  QuarantineRecord record;
  record.body_sha256 = body_sha256;
  record.crashed.insert(run);
  record.expires_at = expires_at;
  return Merge(record);
}

bool QuarantineTable::AddInProgress(const std::string& body_sha256,
                                    const BodyRun& run) {
  const auto found = records_.find(body_sha256);
  return found != records_.end() &&
         found->second.in_progress.insert(run).second;
}

bool QuarantineTable::ClearRun(const std::string& body_sha256,
                               const BodyRun& run) {
  const auto found = records_.find(body_sha256);
  return found != records_.end() && found->second.in_progress.count(run) > 0 &&
         found->second.cleared.insert(run).second;
}

bool QuarantineTable::Clear(const std::string& body_sha256) {
  const auto found = records_.find(body_sha256);
  if (found == records_.end())
    return false;
  QuarantineRecord& record = found->second;
  const std::size_t known = record.cleared.size();
  record.cleared.insert(record.crashed.begin(), record.crashed.end());
  record.cleared.insert(record.in_progress.begin(), record.in_progress.end());
  return record.cleared.size() != known;
}

bool QuarantineTable::Merge(const QuarantineRecord& record) {
  QuarantineRecord& own = records_[record.body_sha256];
  const auto size = [&own] {
    return own.crashed.size() + own.in_progress.size() + own.cleared.size();
  };
  const std::size_t known = size();
  own.body_sha256 = record.body_sha256;
  own.crashed.insert(record.crashed.begin(), record.crashed.end());
  own.in_progress.insert(record.in_progress.begin(), record.in_progress.end());
  own.cleared.insert(record.cleared.begin(), record.cleared.end());
  // Only a change extends the expiry time; otherwise records sent back and
  // forth would never expire.
  const bool changed = size() != known;
  if (changed)
    own.expires_at = std::max(own.expires_at, record.expires_at);
  return changed;
}

void QuarantineTable::Expire(base::MonoTime now) {
  for (auto it = records_.begin(); it != records_.end();) {
    if (it->second.expires_at <= now)
      it = records_.erase(it);
    else
      ++it;
  }
}

QuarantineStatus QuarantineTable::StatusOf(const std::string& body_sha256,
                                           base::MonoTime now) const {
  const QuarantineRecord* record = Find(body_sha256);
  if (record == nullptr || record->expires_at <= now)
    return QuarantineStatus::kClean;
  return routing::StatusOf(*record);
}

const QuarantineRecord* QuarantineTable::Find(
    const std::string& body_sha256) const {
  const auto found = records_.find(body_sha256);
  return found == records_.end() ? nullptr : &found->second;
}

std::vector<const QuarantineRecord*> QuarantineTable::WithSameBackend(
    const QuarantineRecord& record) const {
  std::set<base::BackendId> backends;
  for (const BodyRun& run : record.crashed)
    backends.insert(run.backend);
  std::vector<const QuarantineRecord*> found;
  for (const auto& [body, other] : records_) {
    const bool shares = std::any_of(
        other.crashed.begin(), other.crashed.end(),
        [&](const BodyRun& run) { return backends.count(run.backend) > 0; });
    if (shares)
      found.push_back(&other);
  }
  return found;
}

QuarantineStatus StatusOf(const QuarantineRecord& record) {
  const auto crashes = std::count_if(
      record.crashed.begin(), record.crashed.end(),
      [&](const BodyRun& run) { return record.cleared.count(run) == 0; });
  if (crashes == 0)
    return QuarantineStatus::kClean;
  return crashes < kMaxCrashes ? QuarantineStatus::kSuspect
                               : QuarantineStatus::kQuarantined;
}

std::vector<BodyRun> OpenRuns(const QuarantineRecord& record) {
  std::vector<BodyRun> open;
  std::copy_if(record.in_progress.begin(), record.in_progress.end(),
               std::back_inserter(open), [&](const BodyRun& run) {
                 return record.crashed.count(run) == 0 &&
                        record.cleared.count(run) == 0;
               });
  return open;
}

}  // namespace dandelionmill::routing
