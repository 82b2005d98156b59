#include "dandelionmill/orders/order_planner.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::orders {

void OrderPlanner::SetDesired(std::map<base::BackendId, DesiredState> desired) {
  for (auto it = engines_.begin(); it != engines_.end();) {
    if (desired.count(it->first) == 0)
      it = engines_.erase(it);
    else
      ++it;
  }
  for (auto& [id, state] : desired) {
    Engine& engine = engines_[id];
    if (engine.desired == state)
      continue;
    engine.desired = std::move(state);
    engine.accepted = false;
    engine.was_settled = false;
    engine.not_before = base::MonoTime();
  }
}

void OrderPlanner::OnReport(const base::BackendId& backend,
                            const std::set<std::string>& models,
                            base::MonoTime now) {
  const auto found = engines_.find(backend);
  if (found == engines_.end())
    return;
  Engine& engine = found->second;
  engine.models = models;
  engine.reachable = true;
  const bool may_be_done = engine.was_settled || ReportsVersions(models) ||
                           now >= engine.ordered_at + options_.assumed_load;
  if (IsSettled(engine) && may_be_done) {
    engine.loading = false;
    engine.was_settled = true;
  }
}

void OrderPlanner::OnReportFailed(const base::BackendId& backend) {
  const auto found = engines_.find(backend);
  if (found != engines_.end())
    found->second.reachable = false;
}

void OrderPlanner::OnOrderSent(const base::BackendId& backend,
                               base::MonoTime now) {
  const auto found = engines_.find(backend);
  if (found == engines_.end())
    return;
  found->second.loading = true;
  found->second.accepted = false;
  found->second.ordered_at = now;
}

void OrderPlanner::OnOrderAnswered(const base::BackendId& backend,
                                   bool accepted,
                                   base::MonoTime now) {
  const auto found = engines_.find(backend);
  if (found == engines_.end())
    return;
  Engine& engine = found->second;
  engine.accepted = accepted;
  if (accepted)
    return;
  // Refused or failed. An order that failed without a reply may still be
  // carried out, so the engine counts as loading until the load timeout.
  engine.not_before = now + options_.retry;
}

void OrderPlanner::Reset() {
  for (auto& [id, engine] : engines_) {
    engine.accepted = false;
    engine.loading = false;
    engine.was_settled = false;
    engine.not_before = base::MonoTime();
  }
}

bool OrderPlanner::IsSettled(const Engine& engine) const {
  return engine.accepted && Matches(engine.models, engine.desired);
}

bool OrderPlanner::IsLoading(const Engine& engine, base::MonoTime now) const {
  return engine.loading && now < engine.ordered_at + options_.load_timeout;
}

bool OrderPlanner::NeedsOrder(const Engine& engine, base::MonoTime now) const {
  if (!engine.reachable || now < engine.not_before)
    return false;
  if (IsLoading(engine, now))
    return !engine.accepted;
  return !IsSettled(engine) || now >= engine.ordered_at + options_.repeat;
}

bool OrderPlanner::IsServing(const Engine& engine, base::MonoTime now) const {
  return engine.reachable && !IsLoading(engine, now) &&
         ServesAny(engine.models, engine.desired);
}

std::vector<base::BackendId> OrderPlanner::EnginesToOrder(
    base::MonoTime now) const {
  int loading = CountLoading(now);
  int serving = 0;
  std::vector<std::pair<int, base::BackendId>> candidates;
  for (const auto& [id, engine] : engines_) {
    serving += IsServing(engine, now) ? 1 : 0;
    if (!NeedsOrder(engine, now))
      continue;
    // Engines that do not serve come first: loading on them does not reduce the
    // capacity of the service, and they may be loading for an earlier holder.
    int priority = 1;
    if (IsLoading(engine, now))
      priority = 0;
    else if (IsServing(engine, now) && Matches(engine.models, engine.desired))
      priority = 3;
    else if (IsServing(engine, now))
      priority = 2;
    candidates.emplace_back(priority, id);
  }
  std::sort(candidates.begin(), candidates.end());

  std::vector<base::BackendId> due;
  for (const auto& [priority, id] : candidates) {
    const Engine& engine = engines_.at(id);
    const bool already_loading = IsLoading(engine, now);
    if (!already_loading && loading >= options_.max_loads)
      continue;
    // The last serving engine is sent no order while there are other engines.
    if (IsServing(engine, now) && serving <= 1 && engines_.size() > 1)
      continue;
    serving -= IsServing(engine, now) ? 1 : 0;
    loading += already_loading ? 0 : 1;
    due.push_back(id);
  }
  return due;
}

const DesiredState* OrderPlanner::Desired(
    const base::BackendId& backend) const {
  const auto found = engines_.find(backend);
  return found == engines_.end() ? nullptr : &found->second.desired;
}

int OrderPlanner::CountLoading(base::MonoTime now) const {
  return static_cast<int>(std::count_if(
      engines_.begin(), engines_.end(),
      [&](const auto& item) { return IsLoading(item.second, now); }));
}

int OrderPlanner::CountSettled() const {
  return static_cast<int>(
      std::count_if(engines_.begin(), engines_.end(),
                    [&](const auto& item) { return IsSettled(item.second); }));
}

}  // namespace dandelionmill::orders
