#include "dandelionmill/idempotency/attempt_table.h"

#include <utility>

namespace dandelionmill::idempotency {
namespace {

// Retry-After for a request whose earlier attempt is still running.
constexpr std::chrono::milliseconds kRetryAfter{1000};

Rejected Reject(base::Code code,
                std::string detail,
                base::Ran ran,
                std::chrono::milliseconds retry_after = {}) {
  return {{code, std::move(detail)}, ran, retry_after};
}

Admission AdmitNonIdempotent(const Attempt& existing) {
  if (existing.state != AttemptState::kEnded) {
    return Reject(base::Code::kOutcomeUnknown,
                  "attempt " + existing.id.value() + " is running",
                  base::Ran::kMaybe, kRetryAfter);
  }
  if (existing.completed) {
    return Reject(base::Code::kRanAlready,
                  "attempt " + existing.id.value() + " completed",
                  base::Ran::kYes);
  }
  return Reject(base::Code::kOutcomeUnknown,
                "attempt " + existing.id.value() + " ended without an answer",
                base::Ran::kMaybe);
}

Admission AdmitIdempotent(const Attempt& existing, base::MonoTime now) {
  switch (existing.state) {
    case AttemptState::kGranted:
      return NewAttempt{existing.id};
    case AttemptState::kDispatched:
      return AttachTo{existing.id};
    case AttemptState::kEnded:
      if (existing.completed && now - existing.ended_at < kAnswerRetention)
        return AttachTo{existing.id};
      return NewAttempt{};
  }
  return NewAttempt{};
}

}  // namespace

Admission AttemptTable::Admit(const AdmissionRequest& request,
                              base::MonoTime now) const {
  const Attempt* existing = FindNewest(request.name);
  if (existing == nullptr)
    return NewAttempt{};
  if (existing->body_sha256 != request.body_sha256) {
    return Reject(base::Code::kKeyReused,
                  "key " + request.name.key.value() +
                      " was used with another request body",
                  base::Ran::kNo);
  }
  if (existing->router == request.router && request.resent &&
      existing->state != AttemptState::kEnded)
    return RepeatGrant{existing->id};
  return existing->idempotent && request.idempotent
             ? AdmitIdempotent(*existing, now)
             : AdmitNonIdempotent(*existing);
}

const Attempt* AttemptTable::Find(const base::AttemptId& id) const {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

const Attempt* AttemptTable::FindNewest(const RequestIdentity& name) const {
  const auto found = newest_.find(name);
  return found == newest_.end() ? nullptr : Find(found->second);
}

void AttemptTable::ForEachRunning(
    const std::function<void(const Attempt&)>& visit) const {
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != AttemptState::kEnded)
      visit(attempt);
  }
}

void AttemptTable::Add(Attempt attempt) {
  if (attempts_.count(attempt.id) != 0)
    return;
  newest_[attempt.name] = attempt.id;
  ++running_;
  const base::AttemptId id = attempt.id;
  attempts_.emplace(id, std::move(attempt));
}

Attempt* AttemptTable::FindMutable(const base::AttemptId& id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

bool AttemptTable::End(const base::AttemptId& id,
                       bool completed,
                       base::MonoTime now) {
  Attempt* attempt = FindMutable(id);
  if (attempt == nullptr || attempt->state == AttemptState::kEnded)
    return false;
  attempt->state = AttemptState::kEnded;
  attempt->completed = completed;
  attempt->ended_at = now;
  ended_.emplace(now, id);
  --running_;
  return true;
}

void AttemptTable::Remove(const base::AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  if (found->second.state != AttemptState::kEnded)
    --running_;
  const auto newest = newest_.find(found->second.name);
  if (newest != newest_.end() && newest->second == id)
    newest_.erase(newest);
  attempts_.erase(found);
}

void AttemptTable::Expire(base::MonoTime now) {
  while (!ended_.empty() && now - ended_.begin()->first > kAttemptRetention) {
    const base::AttemptId id = ended_.begin()->second;
    ended_.erase(ended_.begin());
    Remove(id);
  }
}

void AttemptTable::RemoveRunning() {
  std::vector<base::AttemptId> running;
  ForEachRunning(
      [&](const Attempt& attempt) { running.push_back(attempt.id); });
  for (const base::AttemptId& id : running)
    Remove(id);
}

}  // namespace dandelionmill::idempotency
