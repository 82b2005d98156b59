#include "dandelionmill/routing/fair_queue.h"

#include <algorithm>
#include <utility>

namespace dandelionmill::routing {

std::optional<RequestNumber> FairQueue::Push(const QueueItem& item) {
  return Insert(item, false);
}

std::optional<RequestNumber> FairQueue::PushFront(const QueueItem& item) {
  return Insert(item, true);
}

std::optional<RequestNumber> FairQueue::Insert(const QueueItem& item,
                                               bool front) {
  std::optional<RequestNumber> dropped;
  if (size_ >= limit_) {
    dropped = MakeRoom(item);
    if (dropped == item.number)
      return dropped;
  }
  Backlog& backlog = backlogs_[item.account];
  if (backlog.size == 0)
    backlog.start = std::max(backlog.start, virtual_time_);
  backlog.weight = std::max(1, item.weight);
  auto& list = backlog.items[item.priority];
  if (front)
    list.push_front(item);
  else
    list.push_back(item);
  ++backlog.size;
  ++size_;
  return dropped;
}

std::optional<RequestNumber> FairQueue::MakeRoom(const QueueItem& item) {
  const auto found = backlogs_.find(item.account);
  const int own = found == backlogs_.end() ? 0 : found->second.size;
  double longest = (own + 1.0) / std::max(1, item.weight);
  Backlog* victim = nullptr;
  for (auto& [account, backlog] : backlogs_) {
    const double length = static_cast<double>(backlog.size) / backlog.weight;
    if (backlog.size > 0 && account != item.account && length >= longest) {
      longest = length;
      victim = &backlog;
    }
  }
  if (victim == nullptr) {
    // The account of `item` has the longest backlog: drop its newest request of
    // the lowest priority.
    if (own == 0 || found->second.items.rbegin()->first <= item.priority)
      return item.number;
    victim = &found->second;
  }
  auto last = std::prev(victim->items.end());
  const RequestNumber dropped = last->second.back().number;
  Remove(dropped);
  return dropped;
}

std::optional<RequestNumber> FairQueue::Take(const Accepts& accepts) {
  std::vector<Backlog*> order;
  for (auto& [account, backlog] : backlogs_) {
    if (backlog.size > 0)
      order.push_back(&backlog);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const Backlog* a, const Backlog* b) { return a->start < b->start; });
  for (Backlog* backlog : order) {
    for (auto& [priority, list] : backlog->items) {
      for (const QueueItem& item : list) {
        if (!accepts(item.number))
          continue;
        const QueueItem taken = item;
        virtual_time_ = std::max(virtual_time_, backlog->start);
        backlog->start += std::max(1.0, taken.cost) / backlog->weight;
        Remove(taken.number);
        return taken.number;
      }
    }
  }
  return std::nullopt;
}

bool FairQueue::Remove(RequestNumber number) {
  for (auto& [account, backlog] : backlogs_) {
    for (auto list = backlog.items.begin(); list != backlog.items.end();
         ++list) {
      auto& items = list->second;
      const auto found = std::find_if(
          items.begin(), items.end(),
          [&](const QueueItem& item) { return item.number == number; });
      if (found == items.end())
        continue;
      items.erase(found);
      if (items.empty())
        backlog.items.erase(list);
      --backlog.size;
      --size_;
      EraseIdle();
      return true;
    }
  }
  return false;
}

// Removes idle accounts whose start time the virtual time has passed, for which
// Insert() would use the virtual time anyway, and all accounts once the queue
// is empty.
void FairQueue::EraseIdle() {
  for (auto it = backlogs_.begin(); it != backlogs_.end();) {
    const Backlog& backlog = it->second;
    if (backlog.size == 0 && (backlog.start <= virtual_time_ || size_ == 0))
      it = backlogs_.erase(it);
    else
      ++it;
  }
}

int FairQueue::CountAhead(const base::AccountId& account,
                          int weight,
                          int priority) const {
  int own = 0;
  const auto found = backlogs_.find(account);
  if (found != backlogs_.end()) {
    for (const auto& [level, list] : found->second.items) {
      if (level <= priority)
        own += static_cast<int>(list.size());
    }
  }
  double ahead = own;
  for (const auto& [other, backlog] : backlogs_) {
    if (other == account)
      continue;
    const double turns =
        (own + 1.0) * backlog.weight / static_cast<double>(std::max(1, weight));
    ahead += std::min(static_cast<double>(backlog.size), turns);
  }
  return static_cast<int>(ahead);
}

std::vector<RequestNumber> FairQueue::Numbers() const {
  std::vector<RequestNumber> numbers;
  for (const auto& [account, backlog] : backlogs_) {
    for (const auto& [priority, list] : backlog.items) {
      for (const QueueItem& item : list)
        numbers.push_back(item.number);
    }
  }
  return numbers;
}

std::map<base::AccountId, int> FairQueue::Backlogs() const {
  std::map<base::AccountId, int> sizes;
  for (const auto& [account, backlog] : backlogs_) {
    if (backlog.size > 0)
      sizes[account] = backlog.size;
  }
  return sizes;
}

}  // namespace dandelionmill::routing
