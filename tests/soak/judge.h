#ifndef TESTS_SOAK_JUDGE_H_
#define TESTS_SOAK_JUDGE_H_

#include <chrono>
#include <vector>

#include "tests/soak/records.h"

namespace soak {

// The time bounds of the deployment that the soak plays.
struct Bounds {
  std::chrono::milliseconds drain{2500};
  std::chrono::milliseconds propagation{2500};
  std::chrono::milliseconds rollback_slack{250};
  std::int64_t tokens_per_event = 5;
};

// Returns the promises that the records show to be broken. Pure.
std::vector<Breach> Judge(const Records& records, const Bounds& bounds);

}  // namespace soak

#endif  // TESTS_SOAK_JUDGE_H_
