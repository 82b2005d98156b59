#include "dandelionmill/gateway/crash_guard.h"

#include <utility>

namespace dandelionmill::gateway {
namespace {

// Largest number of broken attempts that are checked for a crash.
constexpr std::size_t kMaxBrokenAttempts = 4096;

}  // namespace

void CrashGuard::OnAttemptBroken(const std::string& digest,
                                 const base::BackendId& backend,
                                 base::MonoTime now) {
  broken_attempts_.push_back({digest, backend, now});
  if (broken_attempts_.size() > kMaxBrokenAttempts)
    broken_attempts_.pop_front();
}

void CrashGuard::OnConnectionRefused(const base::BackendId& backend,
                                     base::MonoTime now) {
  for (auto it = broken_attempts_.begin(); it != broken_attempts_.end();) {
    if (it->backend != backend || now - it->broken_at > kCrashDetectionWindow) {
      ++it;
      continue;
    }
    Record& record = records_[it->digest];
    record.expires_at = now + kRecordLifetime;
    if (record.crashed_backends.insert(backend).second)
      reports_.push_back({it->digest, backend});
    it = broken_attempts_.erase(it);
  }
}

void CrashGuard::OnCompleted(const std::string& digest) {
  records_.erase(digest);
}

void CrashGuard::MergeReport(const Report& report, base::MonoTime now) {
  Record& record = records_[report.digest];
  record.crashed_backends.insert(report.backend);
  record.expires_at = now + kRecordLifetime;
}

std::vector<CrashGuard::Report> CrashGuard::TakeReports() {
  return std::exchange(reports_, {});
}

void CrashGuard::Expire(base::MonoTime now) {
  while (!broken_attempts_.empty() &&
         now - broken_attempts_.front().broken_at > kCrashDetectionWindow)
    broken_attempts_.pop_front();
  for (auto it = records_.begin(); it != records_.end();) {
    if (it->second.expires_at <= now)
      it = records_.erase(it);
    else
      ++it;
  }
}

bool CrashGuard::IsQuarantined(const std::string& digest) const {
  const auto found = records_.find(digest);
  return found != records_.end() &&
         found->second.crashed_backends.size() >= kQuarantineCrashCount;
}

}  // namespace dandelionmill::gateway
