#ifndef SRC_DANDELIONMILL_BILLING_CHARGE_QUEUE_H_
#define SRC_DANDELIONMILL_BILLING_CHARGE_QUEUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/billing/charge.h"

namespace dandelionmill::billing {

// Maximum number of charges waiting to be stored. Further charges are not
// accepted; their routers send them again.
inline constexpr std::size_t kMaxQueuedCharges = 20000;
// Maximum number of charges in one stored object.
inline constexpr std::size_t kMaxBatchCharges = 2000;

// One object to store. The content for a name never changes, so that a put
// whose reply was lost can be repeated.
struct Batch {
  std::string name;
  std::string content;
  std::vector<base::AttemptId> attempts;
};

// Collects charges into batches. Does no I/O; not thread-safe.
class ChargeQueue {
 public:
  explicit ChargeQueue(const base::HolderId& holder);

  // Commands.
  // Returns false, without adding the charge, when the queue is full.
  bool Add(const Charge& charge);
  // Returns the batch to store now: the one whose put has not succeeded, or a
  // new one. Returns nullptr when there are no charges. The UTC date of `today`
  // becomes part of the name of a new batch.
  const Batch* NextBatch(base::WallTime today);
  // Removes the batch that has been stored and returns its attempts.
  std::vector<base::AttemptId> OnStored();

  // Queries.
  // The number of charges not yet stored, including those of the batch.
  std::size_t size() const;
  bool empty() const { return size() == 0; }

 private:
  struct Line {
    base::AttemptId attempt;
    std::string json;
  };

  const std::string writer_;
  std::uint64_t next_sequence_ = 1;
  std::vector<Line> lines_;
  std::optional<Batch> batch_;
};

}  // namespace dandelionmill::billing

#endif  // SRC_DANDELIONMILL_BILLING_CHARGE_QUEUE_H_
