#ifndef SRC_DANDELIONMILL_ORDERS_ORDER_PLANNER_H_
#define SRC_DANDELIONMILL_ORDERS_ORDER_PLANNER_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/orders/desired_state.h"

namespace dandelionmill::orders {

// Decides which engines of one service are sent an order next, so that the
// weight store is not overloaded and the service stays available during a
// change of versions. Does no I/O.
class OrderPlanner {
 public:
  struct Options {
    // Maximum number of engines that load at the same time.
    int max_loads = 2;
    // A load that takes longer no longer counts towards `max_loads`.
    std::chrono::milliseconds load_timeout{120000};
    // Assumed load time of an engine that does not report versions.
    std::chrono::milliseconds assumed_load{20000};
    // Delay before the next order after a refused or failed one.
    std::chrono::milliseconds retry{5000};
    // How often orders are repeated to engines whose reports match: an engine
    // that does not check fencing numbers may have accepted a late order of an
    // earlier holder, and not every engine reports its versions.
    std::chrono::milliseconds repeat{60000};
  };

  explicit OrderPlanner(Options options) : options_(options) {}

  // Commands.
  // Replaces the desired states; engines that are not listed are removed.
  void SetDesired(std::map<base::BackendId, DesiredState> desired);
  void OnReport(const base::BackendId& backend,
                const std::set<std::string>& models,
                base::MonoTime now);
  void OnReportFailed(const base::BackendId& backend);
  void OnOrderSent(const base::BackendId& backend, base::MonoTime now);
  void OnOrderAnswered(const base::BackendId& backend,
                       bool accepted,
                       base::MonoTime now);
  // Discards which engines accepted or are carrying out orders; required when a
  // new holder starts.
  void Reset();

  // Queries.
  // Returns the engines to send an order to now, by priority.
  std::vector<base::BackendId> EnginesToOrder(base::MonoTime now) const;
  // Returns nullptr when the engine is not known.
  const DesiredState* Desired(const base::BackendId& backend) const;
  int CountLoading(base::MonoTime now) const;
  // The number of engines that accepted their order and report its models.
  int CountSettled() const;
  int size() const { return static_cast<int>(engines_.size()); }

 private:
  struct Engine {
    DesiredState desired;
    std::set<std::string> models;
    bool reachable = false;
    // Whether the desired state was accepted.
    bool accepted = false;
    // Whether an order was sent whose effect is not yet visible in a report.
    bool loading = false;
    // Whether `desired` was settled before, so that a repeated order loads
    // nothing.
    bool was_settled = false;
    base::MonoTime ordered_at;
    base::MonoTime not_before;
  };

  bool IsSettled(const Engine& engine) const;
  bool IsLoading(const Engine& engine, base::MonoTime now) const;
  bool NeedsOrder(const Engine& engine, base::MonoTime now) const;
  bool IsServing(const Engine& engine, base::MonoTime now) const;

  const Options options_;
  std::map<base::BackendId, Engine> engines_;
};

}  // namespace dandelionmill::orders

#endif  // SRC_DANDELIONMILL_ORDERS_ORDER_PLANNER_H_
