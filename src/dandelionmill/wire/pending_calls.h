#ifndef SRC_DANDELIONMILL_WIRE_PENDING_CALLS_H_
#define SRC_DANDELIONMILL_WIRE_PENDING_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "dandelionmill/base/units.h"

namespace dandelionmill::wire {

class Envelope;

// Tracks calls that wait for a reply. Not thread-safe.
class PendingCalls {
 public:
  // Called once, with the reply or with nullptr after the deadline.
  using Callback = std::function<void(const Envelope* reply)>;

  // Registers `callback` for the reply to message `id`, as returned by
  // Bus::Send.
  void Expect(std::uint64_t id, base::MonoTime deadline, Callback callback);

  // Runs the callback registered for `reply`. Returns false when there is none,
  // for example because the reply arrived after its deadline.
  bool Deliver(const Envelope& reply);

  // Removes the calls whose deadline has passed and runs their callbacks with
  // nullptr.
  void Expire(base::MonoTime now);

  std::size_t size() const { return calls_.size(); }

 private:
  struct Call {
    base::MonoTime deadline;
    Callback callback;
  };

  std::map<std::uint64_t, Call> calls_;
};

}  // namespace dandelionmill::wire

#endif  // SRC_DANDELIONMILL_WIRE_PENDING_CALLS_H_
