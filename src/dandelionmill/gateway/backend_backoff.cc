#include "dandelionmill/gateway/backend_backoff.h"

#include <algorithm>

namespace dandelionmill::gateway {

using std::chrono::milliseconds;

void BackendBackoff::OnPauseRequested(const base::BackendId& backend,
                                      const BackendProcess& process,
                                      milliseconds pause,
                                      base::MonoTime now) {
  Pause& known = pauses_[backend];
  if (!known.process.IsSameAs(process))
    known = Pause();
  known.process = process;
  const auto max_delay = std::min(
      kMaxDelay, std::chrono::duration_cast<milliseconds>(
                     kMaxDelayShare * std::chrono::duration<double>(pause)));
  std::uniform_int_distribution<milliseconds::rep> delay(0, max_delay.count());
  known.ends_at =
      std::max(known.ends_at, now + pause + milliseconds(delay(random_)));
  known.in_progress = 0;
  known.max_in_progress = 1;
}

void BackendBackoff::OnSent(const base::BackendId& backend,
                            base::MonoTime now) {
  const auto found = pauses_.find(backend);
  if (found != pauses_.end() && now >= found->second.ends_at)
    ++found->second.in_progress;
}

bool BackendBackoff::OnAnswered(const base::BackendId& backend,
                                base::MonoTime sent_at) {
  const auto found = pauses_.find(backend);
  // A response to an earlier request says nothing about the time after the
  // pause.
  if (found == pauses_.end() || sent_at < found->second.ends_at)
    return false;
  found->second.max_in_progress *= 2;
  if (found->second.max_in_progress < kUnlimitedRequests)
    return false;
  pauses_.erase(found);
  return true;
}

void BackendBackoff::OnEnded(const base::BackendId& backend,
                             base::MonoTime sent_at) {
  const auto found = pauses_.find(backend);
  if (found != pauses_.end() && sent_at >= found->second.ends_at &&
      found->second.in_progress > 0)
    --found->second.in_progress;
}

const BackendBackoff::Pause* BackendBackoff::Find(
    const BackendEntry& backend) const {
  const auto found = pauses_.find(backend.id);
  return found == pauses_.end() || !found->second.process.MayBeOf(backend)
             ? nullptr
             : &found->second;
}

bool BackendBackoff::IsPaused(const BackendEntry& backend,
                              base::MonoTime now) const {
  const Pause* pause = Find(backend);
  return pause != nullptr && now < pause->ends_at;
}

bool BackendBackoff::Admits(const BackendEntry& backend,
                            base::MonoTime now) const {
  const Pause* pause = Find(backend);
  return pause == nullptr ||
         (now >= pause->ends_at && pause->in_progress < pause->max_in_progress);
}

milliseconds BackendBackoff::TimeUntilAdmitted(const BackendEntry& backend,
                                               base::MonoTime now) const {
  return IsPaused(backend, now)
             ? std::chrono::ceil<milliseconds>(Find(backend)->ends_at - now)
             : milliseconds(0);
}

}  // namespace dandelionmill::gateway
