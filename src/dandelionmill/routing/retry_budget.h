#ifndef SRC_DANDELIONMILL_ROUTING_RETRY_BUDGET_H_
#define SRC_DANDELIONMILL_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace dandelionmill::routing {

// A token bucket that limits retries to a percentage of requests (as in
// Finagle's RetryBudget), so that retries cannot keep a pool overloaded.
class RetryBudget {
 public:
  // The bucket starts full with `capacity` retries.
  explicit RetryBudget(double capacity = 10)
      : capacity_(capacity), balance_(capacity) {}

  // Sets the retries allowed per 100 requests and the capacity in retries. A
  // larger capacity adds the difference to the balance.
  void Configure(int percent, double capacity) {
    retries_per_request_ = percent / 100.0;
    balance_ += std::max(0.0, capacity - capacity_);
    capacity_ = capacity;
    balance_ = std::min(balance_, capacity_);
  }
  void OnRequest() {
    balance_ = std::min(capacity_, balance_ + retries_per_request_);
  }
  // Takes one retry. Returns false without taking one if none is available.
  bool TryTake() {
    if (balance_ < 1)
      return false;
    balance_ -= 1;
    return true;
  }

  // Available retries.
  double balance() const { return balance_; }

 private:
  double retries_per_request_ = 0.1;
  double capacity_;
  double balance_;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_RETRY_BUDGET_H_
