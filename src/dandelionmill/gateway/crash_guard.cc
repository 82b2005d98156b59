#include "dandelionmill/gateway/crash_guard.h"

#include <utility>

namespace dandelionmill::gateway {
namespace {

// Most broken attempts that wait for a sign of a crash.
constexpr std::size_t kMaxBroken = 4096;

}  // namespace

void CrashGuard::OnBroken(const std::string& digest,
                          const base::BackendId& backend,
                          base::MonoTime now) {
  broken_.push_back({digest, backend, now});
  if (broken_.size() > kMaxBroken)
    broken_.pop_front();
}

void CrashGuard::OnRefused(const base::BackendId& backend, base::MonoTime now) {
  for (auto at = broken_.begin(); at != broken_.end();) {
    if (at->backend != backend || now - at->at > kSameCrash) {
      ++at;
      continue;
    }
    Record& record = records_[at->digest];
    record.until = now + kMemory;
    if (record.crashed.insert(backend).second)
      reports_.push_back({at->digest, backend});
    at = broken_.erase(at);
  }
}

void CrashGuard::OnCompleted(const std::string& digest) {
  records_.erase(digest);
}

void CrashGuard::Learn(const Report& report, base::MonoTime now) {
  Record& record = records_[report.digest];
  record.crashed.insert(report.backend);
  record.until = now + kMemory;
}

std::vector<CrashGuard::Report> CrashGuard::TakeReports() {
  return std::exchange(reports_, {});
}

void CrashGuard::Expire(base::MonoTime now) {
  while (!broken_.empty() && now - broken_.front().at > kSameCrash)
    broken_.pop_front();
  for (auto at = records_.begin(); at != records_.end();) {
    if (at->second.until <= now)
      at = records_.erase(at);
    else
      ++at;
  }
}

bool CrashGuard::IsQuarantined(const std::string& digest) const {
  const auto found = records_.find(digest);
  return found != records_.end() && found->second.crashed.size() >= kMaxCrashes;
}

}  // namespace dandelionmill::gateway
