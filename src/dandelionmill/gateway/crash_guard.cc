#include "dandelionmill/gateway/crash_guard.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::gateway {
namespace {

// Largest number of broken attempts that are checked for a crash.
constexpr std::size_t kMaxBrokenAttempts = 4096;

// Prompt parts with an answer that are remembered at least.
constexpr std::size_t kMaxAnsweredParts = 8192;

// Records of each kind; further suspects are not recorded.
constexpr std::size_t kMaxRecords = 16384;

// Shared parts of one prompt that are considered.
constexpr std::size_t kMaxSharedParts = 32;

// Longest part id that is used as it is.
constexpr std::size_t kMaxPartIdLength = 40;

}  // namespace

std::vector<std::string> SharedPartIds(const std::vector<PromptPart>& parts) {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i + 1 < parts.size() && i < kMaxSharedParts; ++i) {
    const std::string& id = parts[i].id;
    const bool is_plain =
        !id.empty() && id.size() <= kMaxPartIdLength &&
        std::all_of(id.begin(), id.end(),
                    [](unsigned char c) { return std::isalnum(c) != 0; });
    ids.push_back(is_plain ? id : "h" + std::to_string(base::StableHash(id)));
  }
  return ids;
}

void CrashGuard::OnAttemptBroken(BrokenAttempt attempt) {
  broken_attempts_.push_back(std::move(attempt));
  if (broken_attempts_.size() > kMaxBrokenAttempts)
    broken_attempts_.pop_front();
}

void CrashGuard::OnConnectionRefused(const base::BackendId& backend,
                                     base::MonoTime now) {
  AddCrashes(backend, std::nullopt, now);
}

void CrashGuard::OnRestarted(const base::BackendId& backend,
                             std::int64_t incarnation,
                             base::MonoTime now) {
  AddCrashes(backend, incarnation, now);
}

void CrashGuard::AddCrashes(const base::BackendId& backend,
                            std::optional<std::int64_t> incarnation,
                            base::MonoTime now) {
  bool has_crashed = false;
  for (auto it = broken_attempts_.begin(); it != broken_attempts_.end();) {
    if (it->backend != backend || now - it->broken_at > kCrashDetectionWindow ||
        (incarnation && it->incarnation != *incarnation)) {
      ++it;
      continue;
    }
    has_crashed = true;
    const BrokenAttempt attempt = std::move(*it);
    it = broken_attempts_.erase(it);
    Report& report = OwnReportOf(backend);
    AddDigestCrash(attempt.traits.digest, backend, now);
    report.digests.push_back(attempt.traits.digest);
    if (attempt.was_answering)
      continue;
    for (const std::string& part : attempt.traits.parts) {
      if (AnsweredAt(part).value_or(base::MonoTime()) > attempt.sent_at)
        continue;
      const auto known = parts_.find(part);
      const bool is_repeated = known != parts_.end() &&
                               known->second.suspected_since < attempt.sent_at;
      AddPartCrash(part, backend, {is_repeated, 0}, now);
      report.parts.push_back({part, is_repeated});
    }
  }
  if (has_crashed)
    UpdateQuarantine();
}

void CrashGuard::OnReachable(const base::BackendId& backend) {
  broken_attempts_.erase(
      std::remove_if(broken_attempts_.begin(), broken_attempts_.end(),
                     [&backend](const BrokenAttempt& attempt) {
                       return attempt.backend == backend;
                     }),
      broken_attempts_.end());
}

bool CrashGuard::HasBrokenAttempt(const base::BackendId& backend,
                                  base::MonoTime now) const {
  return std::any_of(broken_attempts_.begin(), broken_attempts_.end(),
                     [&](const BrokenAttempt& attempt) {
                       return attempt.backend == backend &&
                              now - attempt.broken_at <= kCrashDetectionWindow;
                     });
}

CrashGuard::Report& CrashGuard::OwnReportOf(const base::BackendId& backend) {
  const auto found = std::find_if(
      reports_.begin(), reports_.end(),
      [&](const Report& report) { return report.backend == backend; });
  if (found != reports_.end())
    return *found;
  reports_.push_back({backend, {}, {}});
  return reports_.back();
}

void CrashGuard::AddDigestCrash(const std::string& digest,
                                const base::BackendId& backend,
                                base::MonoTime now) {
  if (digests_.size() >= kMaxRecords && digests_.count(digest) == 0)
    return;
  DigestRecord& record = digests_[digest];
  record.expires_at = now + kRecordLifetime;
  record.crashed_backends.insert(backend);
}

void CrashGuard::AddPartCrash(const std::string& part,
                              const base::BackendId& backend,
                              PartCrash crash,
                              base::MonoTime now) {
  if (parts_.size() >= kMaxRecords && parts_.count(part) == 0)
    return;
  PartRecord& record = parts_[part];
  if (record.crashes.empty())
    record.suspected_since = now;
  record.expires_at = now + kRecordLifetime;
  const auto [known, is_new] = record.crashes.try_emplace(backend, crash);
  if (!is_new) {
    known->second.is_repeated |= crash.is_repeated;
    known->second.version = std::max(known->second.version, crash.version);
  }
  if (record.crashes.size() > 1 && !record.is_answer_reported &&
      AnsweredAt(part)) {
    record.is_answer_reported = true;
    AddClearance({part, false}, record.crashes.size(), now);
  }
}

void CrashGuard::OnCompleted(const CrashTraits& traits, base::MonoTime now) {
  digests_.erase(traits.digest);
  ClearParts(traits.parts, now);
}

void CrashGuard::OnAnswering(const CrashTraits& traits, base::MonoTime now) {
  ClearParts(traits.parts, now);
}

void CrashGuard::ClearParts(const std::vector<std::string>& parts,
                            base::MonoTime now) {
  bool has_changed = false;
  for (const std::string& part : parts) {
    if (answered_.size() >= kMaxAnsweredParts)
      answered_before_ = std::exchange(answered_, {});
    answered_[part] = now;
    const auto found = parts_.find(part);
    if (found == parts_.end())
      continue;
    AddClearance({part, true}, found->second.crashes.size(), now);
    parts_.erase(found);
    has_changed = true;
  }
  if (has_changed)
    UpdateQuarantine();
}

void CrashGuard::AddClearance(Clearance clearance,
                              std::size_t crashes,
                              base::MonoTime now) {
  if (instances_ > kPromptInstances && crashes < kSharedSuspicionCrashCount)
    return;
  std::bernoulli_distribution is_prompt(
      std::min(1.0, static_cast<double>(kPromptInstances) / instances_));
  std::uniform_int_distribution<std::int64_t> delay(kMinShareDelay.count(),
                                                    kMaxShareDelay.count());
  const base::MonoTime due_at =
      is_prompt(random_) ? now
                         : now + std::chrono::milliseconds(delay(random_));
  clearances_.push_back({std::move(clearance), due_at});
}

void CrashGuard::MergeReport(const Report& report,
                             std::uint64_t version,
                             base::MonoTime now) {
  for (const std::string& digest : report.digests)
    AddDigestCrash(digest, report.backend, now);
  for (const Report::Part& part : report.parts)
    AddPartCrash(part.id, report.backend, {part.is_repeated, version}, now);
  UpdateQuarantine();
}

void CrashGuard::MergeClearance(const Clearance& clearance,
                                std::uint64_t version) {
  const auto is_said = [&clearance](const PendingClearance& pending) {
    return pending.clearance.part == clearance.part &&
           (clearance.is_after_crashes || !pending.clearance.is_after_crashes);
  };
  clearances_.erase(
      std::remove_if(clearances_.begin(), clearances_.end(), is_said),
      clearances_.end());
  const auto found = parts_.find(clearance.part);
  if (found == parts_.end())
    return;
  PartRecord& record = found->second;
  record.was_answered_elsewhere = true;
  record.is_quarantined = false;
  if (clearance.is_after_crashes) {
    for (auto it = record.crashes.begin(); it != record.crashes.end();) {
      if (it->second.version < version)
        it = record.crashes.erase(it);
      else
        ++it;
    }
    if (record.crashes.empty())
      parts_.erase(found);
  }
  UpdateQuarantine();
}

std::vector<CrashGuard::Report> CrashGuard::TakeReports() {
  return std::exchange(reports_, {});
}

std::vector<CrashGuard::Clearance> CrashGuard::TakeClearances(
    base::MonoTime now) {
  std::vector<Clearance> due;
  std::vector<PendingClearance> later;
  for (PendingClearance& pending : clearances_) {
    if (pending.due_at <= now)
      due.push_back(std::move(pending.clearance));
    else
      later.push_back(std::move(pending));
  }
  clearances_ = std::move(later);
  return due;
}

std::vector<std::string> CrashGuard::TakeQuarantinedParts() {
  return std::exchange(newly_quarantined_, {});
}

void CrashGuard::Expire(base::MonoTime now) {
  while (!broken_attempts_.empty() &&
         now - broken_attempts_.front().broken_at > kCrashDetectionWindow)
    broken_attempts_.pop_front();
  for (auto it = digests_.begin(); it != digests_.end();) {
    if (it->second.expires_at <= now)
      it = digests_.erase(it);
    else
      ++it;
  }
  bool has_expired = false;
  for (auto it = parts_.begin(); it != parts_.end();) {
    if (it->second.expires_at <= now) {
      it = parts_.erase(it);
      has_expired = true;
    } else {
      ++it;
    }
  }
  if (has_expired)
    UpdateQuarantine();
}

std::optional<base::MonoTime> CrashGuard::AnsweredAt(
    const std::string& part) const {
  for (const auto* answers : {&answered_, &answered_before_}) {
    const auto found = answers->find(part);
    if (found != answers->end())
      return found->second;
  }
  return std::nullopt;
}

bool CrashGuard::WasAnswered(const std::string& part,
                             const PartRecord& record) const {
  return record.was_answered_elsewhere || AnsweredAt(part);
}

CrashGuard::Evidence CrashGuard::EvidenceAgainst(
    const PartRecord& record) const {
  Evidence evidence;
  for (const auto& [backend, crash] : record.crashes) {
    if (explained_.count(backend) != 0)
      continue;
    ++evidence.crashes;
    if (crash.is_repeated)
      ++evidence.repeated;
  }
  return evidence;
}

bool CrashGuard::IsSufficient(const std::string& part,
                              const PartRecord& record,
                              const Evidence& evidence) const {
  if (evidence.crashes >= kMaxPartCrashCount &&
      evidence.repeated >= kMaxRepeatedCrashCount)
    return true;
  return evidence.crashes >= kPartCrashCount &&
         evidence.repeated >= kRepeatedCrashCount &&
         !WasAnswered(part, record) &&
         !HasEqualSuspect(part, record, evidence.crashes);
}

bool CrashGuard::HasEqualSuspect(const std::string& part,
                                 const PartRecord& record,
                                 std::size_t crashes) const {
  return std::any_of(parts_.begin(), parts_.end(), [&](const auto& other) {
    if (other.first == part || other.second.is_quarantined ||
        WasAnswered(other.first, other.second) ||
        EvidenceAgainst(other.second).crashes < crashes)
      return false;
    return std::any_of(record.crashes.begin(), record.crashes.end(),
                       [&](const auto& crash) {
                         return explained_.count(crash.first) == 0 &&
                                other.second.crashes.count(crash.first) != 0;
                       });
  });
}

void CrashGuard::UpdateExplainedCrashes() {
  explained_.clear();
  for (const auto& [part, record] : parts_) {
    if (!record.is_quarantined)
      continue;
    for (const auto& [backend, crash] : record.crashes)
      explained_.insert(backend);
  }
}

void CrashGuard::UpdateQuarantine() {
  UpdateExplainedCrashes();
  for (;;) {
    auto strongest = parts_.end();
    Evidence most;
    for (auto it = parts_.begin(); it != parts_.end(); ++it) {
      if (it->second.is_quarantined ||
          it->second.crashes.size() < kPartCrashCount)
        continue;
      const Evidence evidence = EvidenceAgainst(it->second);
      if (evidence.crashes > most.crashes &&
          IsSufficient(it->first, it->second, evidence)) {
        strongest = it;
        most = evidence;
      }
    }
    if (strongest == parts_.end())
      return;
    strongest->second.is_quarantined = true;
    newly_quarantined_.push_back(strongest->first);
    UpdateExplainedCrashes();
  }
}

std::optional<std::string> CrashGuard::FindQuarantinedPart(
    const CrashTraits& traits) const {
  for (const std::string& part : traits.parts) {
    const auto found = parts_.find(part);
    if (found != parts_.end() && found->second.is_quarantined)
      return part;
  }
  return std::nullopt;
}

bool CrashGuard::IsQuarantined(const CrashTraits& traits) const {
  const auto found = digests_.find(traits.digest);
  if (found == digests_.end())
    return false;
  const std::set<base::BackendId>& backends = found->second.crashed_backends;
  const auto unexplained = std::count_if(
      backends.begin(), backends.end(), [this](const base::BackendId& backend) {
        return explained_.count(backend) == 0;
      });
  return static_cast<std::size_t>(unexplained) >= kQuarantineCrashCount;
}

}  // namespace dandelionmill::gateway
