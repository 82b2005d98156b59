#ifndef SRC_DANDELIONMILL_ROUTING_FAIR_QUEUE_H_
#define SRC_DANDELIONMILL_ROUTING_FAIR_QUEUE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/routing/dispatcher.h"

namespace dandelionmill::routing {

// The properties of a waiting request that determine its place in the queue.
struct QueueItem {
  RequestNumber number = 0;
  base::AccountId account;
  int weight = 1;
  // 0 (highest) to 9 (lowest); orders the requests of one client account.
  int priority = 5;
  // Service cost in a unit common to all items; values below 1 count as 1.
  double cost = 1;
};

// A bounded queue that shares service between client accounts in proportion to
// their weights: start-time fair queueing (Goyal, Vin and Cheng, 1996) over
// accounts, and priority, then arrival order within an account. A full queue
// drops the newest request of the lowest priority of the account with the
// longest backlog relative to its weight (McKenney, 1990).
class FairQueue {
 public:
  using Accepts = std::function<bool(RequestNumber)>;

  explicit FairQueue(int limit) : limit_(limit) {}

  // Commands.
  void SetLimit(int limit) { limit_ = limit; }
  // Adds a request. Returns the request dropped because the queue was full, if
  // any; this can be the added request.
  std::optional<RequestNumber> Push(const QueueItem& item);
  // Like Push(), but inserts before the account's requests of equal priority.
  std::optional<RequestNumber> PushFront(const QueueItem& item);
  // Removes and returns the first request in fair order that satisfies
  // `accepts`.
  std::optional<RequestNumber> Take(const Accepts& accepts);
  // Returns whether the request was in the queue.
  bool Remove(RequestNumber number);

  // Queries.
  int size() const { return size_; }
  int limit() const { return limit_; }
  // Returns the number of waiting requests that would be served before a new
  // request of this account, weight and priority.
  int CountAhead(const base::AccountId& account,
                 int weight,
                 int priority) const;
  // Returns all waiting requests, grouped by account.
  std::vector<RequestNumber> Numbers() const;
  // Returns the number of waiting requests of each account.
  std::map<base::AccountId, int> Backlogs() const;

 private:
  struct Backlog {
    // Requests by priority; no deque is empty.
    std::map<int, std::deque<QueueItem>> items;
    int size = 0;
    int weight = 1;
    // Virtual start time of the next request.
    double start = 0;
  };

  std::optional<RequestNumber> Insert(const QueueItem& item, bool front);
  std::optional<RequestNumber> MakeRoom(const QueueItem& item);
  void EraseIdle();

  int limit_;
  int size_ = 0;
  double virtual_time_ = 0;
  std::map<base::AccountId, Backlog> backlogs_;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_FAIR_QUEUE_H_
