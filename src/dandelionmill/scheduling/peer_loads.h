#ifndef SRC_DANDELIONMILL_SCHEDULING_PEER_LOADS_H_
#define SRC_DANDELIONMILL_SCHEDULING_PEER_LOADS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::scheduling {

// What one instance has in progress at one backend server.
struct InstanceLoad {
  base::BackendId backend;
  int in_flight = 0;
  // Prompt tokens that were sent and whose prefill is not complete.
  base::Tokens pending_prefill_tokens = 0;
};

// Sums what the other instances have in progress at each backend server, from
// the reports that they send each other. Answers a load in which many instances
// choose among the same backend servers, while each receives responses from one
// of them only every few seconds. Each report replaces the last one of its
// instance, so that lost, late and repeated ones do no harm; an instance that
// is silent for three intervals does not count. Pure.
class PeerLoads {
 public:
  // Interval at which an instance reports.
  static constexpr std::chrono::milliseconds kReportInterval{150};

  // A change of the sums of one backend server.
  struct Change {
    base::BackendId backend;
    int in_flight = 0;
    base::Tokens pending_prefill_tokens = 0;
  };

  // Commands.
  // Sets the number of other instances, and the number that one sends its
  // reports to in an interval: in a larger fleet they come less often.
  void SetInstances(std::size_t instances, std::size_t reports_per_interval);
  // Another instance has reported. Returns the changes of the sums. `process`
  // is a process of an instance, and `number` that of its report: one with a
  // lower number than the last is ignored.
  std::vector<Change> OnReport(const std::string& process,
                               std::uint64_t number,
                               std::vector<InstanceLoad> loads,
                               base::MonoTime now);
  // Removes the instances whose last report is too old. Returns the changes of
  // the sums.
  std::vector<Change> Expire(base::MonoTime now);

  // Queries.
  // Instances that count.
  std::size_t instance_count() const { return reports_.size(); }
  // Whether more than half of the other instances count.
  bool KnowsMost() const {
    return instances_ > 0 && 2 * reports_.size() > instances_;
  }

 private:
  struct Report {
    std::uint64_t number = 0;
    std::vector<InstanceLoad> loads;
    base::MonoTime received_at{};
  };

  std::size_t instances_ = 0;
  std::chrono::milliseconds validity_ = 3 * kReportInterval;
  std::map<std::string, Report> reports_;
};

}  // namespace dandelionmill::scheduling

#endif  // SRC_DANDELIONMILL_SCHEDULING_PEER_LOADS_H_
