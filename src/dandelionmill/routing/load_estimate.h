#ifndef SRC_DANDELIONMILL_ROUTING_LOAD_ESTIMATE_H_
#define SRC_DANDELIONMILL_ROUTING_LOAD_ESTIMATE_H_

#include <chrono>
#include <deque>

#include "dandelionmill/base/units.h"
#include "dandelionmill/routing/dispatcher.h"

namespace dandelionmill::routing {

// Estimates the current number of requests on a backend server. A load report
// counts the requests of all routers at the time of measurement; the estimate
// adds the requests that this router has sent since and subtracts those it has
// finished. The requests of other routers are unknown in between and stay at
// the reported number until the next report.
class LoadEstimate {
 public:
  // Older reports are ignored.
  static constexpr std::chrono::milliseconds kMaxReportAge{3000};

  // Commands.
  void OnSent(base::MonoTime now);
  void OnEnded(base::MonoTime now);
  // Ignores reports that are too old, measured in the future, or measured
  // before the latest one.
  void OnReport(const LoadReport& report, base::MonoTime now);

  // Queries.
  // Number of requests of this router on the backend server.
  int own() const { return own_; }
  // Number of requests of other routers, running or waiting; 0 without a recent
  // report.
  int Others(base::MonoTime now) const;
  int Total(base::MonoTime now) const { return own_ + Others(now); }

 private:
  struct Change {
    base::MonoTime at;
    int own = 0;
  };
  // Returns this router's request count at `time`.
  int OwnAt(base::MonoTime time) const;
  void Record(base::MonoTime now);

  int own_ = 0;
  int others_ = 0;
  bool reported_ = false;
  base::MonoTime measured_at_;
  // Own count after each change, oldest first.
  std::deque<Change> changes_;
};

}  // namespace dandelionmill::routing

#endif  // SRC_DANDELIONMILL_ROUTING_LOAD_ESTIMATE_H_
