#include "standins/backend/engine.h"

#include <algorithm>
#include <utility>

namespace standins::backend {

using dandelionmill::base::MonoTime;

Engine::Engine(Options options, RecordLog& records, std::function<void()> crash)
    : options_(options),
      records_(records),
      crash_(std::move(crash)),
      cache_(options.cache) {}

std::shared_ptr<Attempt> Engine::Submit(Attempt::Call call, MonoTime now) {
  auto attempt = std::make_shared<Attempt>(std::move(call));
  std::lock_guard<std::mutex> lock(mutex_);
  const int priority = attempt->call().priority;
  attempts_[attempt->call().record.attempt] = attempt;
  waiting_.emplace(WaitingKey{priority, ++arrival_count_},
                   Job{attempt, 0, now});
  StartWaitingJobs(now);
  return attempt;
}

std::shared_ptr<Attempt> Engine::Cancel(const std::string& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return nullptr;
  found->second->Cancel();
  return found->second;
}

void Engine::Step(MonoTime now) {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const Job& job : running_) {
    if (now < job.ready_at)
      continue;
    if (job.attempt->call().crashes)
      RecordAndCrash();
    job.attempt->AddToken();
  }
  RemoveFinished(now);
  StartWaitingJobs(now);
  RemoveExpired(now);
}

std::shared_ptr<Attempt> Engine::Find(const std::string& id) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : found->second;
}

Engine::Load Engine::CurrentLoad() const {
  std::lock_guard<std::mutex> lock(mutex_);
  Load load;
  load.running = static_cast<int>(running_.size());
  load.waiting = static_cast<int>(waiting_.size());
  load.slots = options_.slots;
  load.used_blocks = cache_.size();
  load.blocks = options_.cache.capacity;
  return load;
}

std::vector<CacheEvent> Engine::CacheEvents(std::uint64_t after,
                                            std::size_t limit,
                                            MonoTime now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return cache_.Events(after, limit, now);
}

bool Engine::IsIdle() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return running_.empty() && waiting_.empty();
}

void Engine::StartWaitingJobs(MonoTime now) {
  while (!waiting_.empty() &&
         static_cast<int>(running_.size()) < options_.slots) {
    Job job = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    if (job.attempt->IsFinished())
      finished_.push_back({job.attempt->call().record.attempt,
                           now + options_.finished_retention});
    else
      StartJob(std::move(job), now);
  }
}

void Engine::StartJob(Job job, MonoTime now) {
  const ModelCall& call = job.attempt->call().model_call;
  const int cached_blocks = cache_.Use(PrefixBlocks(call.prompt), now);
  const int uncached_tokens =
      std::max(0, call.prompt_tokens - cached_blocks * kBlockTokens);
  job.ready_at = now + options_.prefill_per_token * uncached_tokens;
  job.attempt->Start();
  job.record = records_.Begin(job.attempt->Record());
  running_.push_back(std::move(job));
}

void Engine::RemoveFinished(MonoTime now) {
  auto still_running =
      std::partition(running_.begin(), running_.end(),
                     [](const Job& job) { return !job.attempt->IsFinished(); });
  for (auto job = still_running; job != running_.end(); ++job) {
    records_.Update(job->record, job->attempt->Record());
    finished_.push_back({job->attempt->call().record.attempt,
                         now + options_.finished_retention});
  }
  running_.erase(still_running, running_.end());
}

void Engine::RemoveExpired(MonoTime now) {
  auto first_kept = std::find_if(
      finished_.begin(), finished_.end(),
      [now](const Finished& finished) { return finished.expires_at > now; });
  for (auto done = finished_.begin(); done != first_kept; ++done)
    attempts_.erase(done->attempt);
  finished_.erase(finished_.begin(), first_kept);
}

void Engine::RecordAndCrash() {
  for (const Job& job : running_) {
    RunRecord record = job.attempt->Record();
    record.state = "crashed";
    records_.Update(job.record, record);
  }
  records_.RecordCrash();
  crash_();
}

}  // namespace standins::backend
