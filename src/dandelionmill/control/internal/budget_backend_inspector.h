#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_BACKEND_INSPECTOR_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_BACKEND_INSPECTOR_H_

#include <mutex>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/base/worker_pool.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::control {

// Looks up attempts whose router is lost on backend servers, on a separate
// thread. Thread-safe.
class BackendInspector {
 public:
  struct Lookup {
    base::AttemptId attempt;
    // Backend servers that may have run the attempt.
    std::vector<net::Address> backends;
  };
  enum class RecordState {
    // The attempt ended; the token counts are its actual usage.
    kCompleted,
    kCancelled,
    // Every backend server replied that it has no record of the attempt.
    kNoRecord,
    // A backend server did not reply or gave no final state.
    kUndetermined
  };
  struct LookupResult {
    base::AttemptId attempt;
    RecordState state = RecordState::kUndetermined;
    base::Tokens prompt_tokens = 0;
    base::Tokens completion_tokens = 0;
  };

  BackendInspector();
  BackendInspector(const BackendInspector&) = delete;
  BackendInspector& operator=(const BackendInspector&) = delete;

  // Starts to look up an attempt, which is cancelled if it still runs. Returns
  // at once.
  void StartLookup(Lookup lookup);
  // Returns and removes the results received since the last call.
  std::vector<LookupResult> TakeResults();

 private:
  std::mutex mutex_;
  std::vector<LookupResult> results_;
  base::WorkerPool workers_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_BUDGET_BACKEND_INSPECTOR_H_
