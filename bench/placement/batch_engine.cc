#include "bench/placement/batch_engine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bench::placement {

using std::chrono::duration_cast;

BatchEngine::BatchEngine(Timeline& timeline, Options options, Hooks hooks)
    : timeline_(timeline), options_(options), hooks_(std::move(hooks)) {}

bool BatchEngine::Submit(Work work) {
  if (static_cast<int>(waiting_.size()) >= options_.max_waiting)
    return false;
  auto at = waiting_.end();
  if (options_.by_priority) {
    at = std::find_if(waiting_.begin(), waiting_.end(), [&](const Work& other) {
      return other.priority > work.priority;
    });
  }
  waiting_.insert(at, std::move(work));
  Admit();
  return true;
}

void BatchEngine::Cancel(std::uint64_t number) {
  waiting_.remove_if(
      [number](const Work& work) { return work.number == number; });
  running_.remove_if(
      [number](const Running& run) { return run.work.number == number; });
  Admit();
}

void BatchEngine::Crash() {
  ++life_;
  is_stepping_ = false;
  waiting_.clear();
  running_.clear();
  cached_.clear();
  by_id_.clear();
  cached_tokens_ = 0;
}

gateway::ResponseMetadata::Load BatchEngine::Load() const {
  gateway::ResponseMetadata::Load load;
  load.running = static_cast<int>(running_.size());
  load.waiting = static_cast<int>(waiting_.size());
  load.slots = options_.slots;
  if (reports_slowness_)
    load.work_time_percent = std::round(100 * slowness_);
  return load;
}

Tokens BatchEngine::RunningTokens() const {
  Tokens tokens = 0;
  for (const Running& run : running_)
    tokens += run.work.model_request.prompt_tokens + run.made;
  return tokens;
}

void BatchEngine::Admit() {
  while (!waiting_.empty() &&
         static_cast<int>(running_.size()) < options_.slots &&
         RunningTokens() + waiting_.front().model_request.MaxTokens() <=
             options_.memory) {
    Running run;
    run.work = std::move(waiting_.front());
    waiting_.pop_front();
    run.unread = UseCache(run.work.model_request);
    running_.push_back(std::move(run));
  }
  Trim();
  if (!is_stepping_ && !running_.empty())
    ScheduleStep();
}

Tokens BatchEngine::UseCache(const gateway::ModelRequest& model_request) {
  Tokens unread = model_request.prompt_tokens;
  bool reads = false;
  for (std::size_t i = 0; i < model_request.parts.size(); ++i) {
    const gateway::PromptPart& part = model_request.parts[i];
    const auto known = by_id_.find(part.id);
    reads = reads || known == by_id_.end();
    if (!reads)
      unread -= part.tokens;
    // The last part is the request's own.
    else if (i + 1 < model_request.parts.size())
      shared_tokens_read_ += part.tokens;
    if (known != by_id_.end()) {
      cached_.splice(cached_.begin(), cached_, known->second);
      continue;
    }
    cached_.emplace_front(part.id, part.tokens);
    by_id_[part.id] = cached_.begin();
    cached_tokens_ += part.tokens;
  }
  return std::max<Tokens>(1, unread);
}

void BatchEngine::Trim() {
  const Tokens room = options_.memory - RunningTokens();
  while (cached_tokens_ > room && !cached_.empty()) {
    cached_tokens_ -= cached_.back().second;
    by_id_.erase(cached_.back().first);
    cached_.pop_back();
  }
}

void BatchEngine::ScheduleStep() {
  is_stepping_ = true;
  Tokens reading = 0;
  for (const Running& run : running_)
    reading += run.unread;
  reading = std::min(reading, options_.prompt_tokens_per_step);
  const auto running = static_cast<int>(running_.size());
  const std::chrono::duration<double, std::milli> time =
      slowness_ *
      (std::chrono::duration<double, std::milli>(
           options_.step + running * options_.step_per_request) +
       std::chrono::duration<double, std::milli>(
           static_cast<double>(reading) / options_.prompt_tokens_per_ms));
  timeline_.After(duration_cast<Timeline::Duration>(time),
                  [this, life = life_] {
                    if (life == life_)
                      Step();
                  });
}

void BatchEngine::Step() {
  is_stepping_ = false;
  Tokens reading = options_.prompt_tokens_per_step;
  std::vector<std::pair<std::uint64_t, int>> events;
  for (auto run = running_.begin(); run != running_.end();) {
    if (run->unread > 0) {
      const Tokens read = std::min(reading, run->unread);
      run->unread -= read;
      reading -= read;
      // The first token follows the prompt.
      if (run->unread > 0) {
        ++run;
        continue;
      }
    }
    ++run->made;
    const auto event =
        static_cast<int>((run->made + options_.tokens_per_event - 1) /
                         options_.tokens_per_event);
    if (run->made % options_.tokens_per_event == 1 ||
        options_.tokens_per_event == 1)
      events.emplace_back(run->work.number, event);
    run = event >= run->work.events ? running_.erase(run) : std::next(run);
  }
  Admit();
  if (!is_stepping_ && !running_.empty())
    ScheduleStep();
  const gateway::ResponseMetadata::Load load = Load();
  for (const auto& [number, event] : events) {
    timeline_.After(options_.event_delay,
                    [this, number = number, event = event, load] {
                      hooks_.event(number, event, load);
                    });
  }
}

}  // namespace bench::placement
