#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_BACKOFF_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/backend_process.h"

namespace dandelionmill::gateway {

// Keeps this instance from sending requests to backend servers that have turned
// one away and asked for a pause. After the pause a single request tries the
// server; each response to it or to later ones doubles the number that may be
// in progress, until the server is used without a limit again. Pure except for
// a random delay, so that the instances do not return at the same moment.
class BackendBackoff {
 public:
  // Requests in progress at which a server is used without a limit again.
  static constexpr int kUnlimitedRequests = 16;
  // Most of a pause, as a share and in all, by which it is prolonged at random.
  static constexpr double kMaxDelayShare = 0.1;
  static constexpr std::chrono::milliseconds kMaxDelay{500};

  explicit BackendBackoff(std::uint64_t seed) : random_(seed) {}

  // Commands.
  // A process of the backend server has turned a request away and wants no
  // others for `pause`.
  void OnPauseRequested(const base::BackendId& backend,
                        const BackendProcess& process,
                        std::chrono::milliseconds pause,
                        base::MonoTime now);
  // A request is sent.
  void OnSent(const base::BackendId& backend, base::MonoTime now);
  // A response to a request that was sent at `sent_at` has arrived that does
  // not ask for a pause. Returns whether this ended the backoff.
  bool OnAnswered(const base::BackendId& backend, base::MonoTime sent_at);
  // A request that was sent at `sent_at` has ended. Call once for each OnSent.
  void OnEnded(const base::BackendId& backend, base::MonoTime sent_at);
  // The backend server was removed.
  void Remove(const base::BackendId& backend) { pauses_.erase(backend); }

  // Queries.
  bool empty() const { return pauses_.empty(); }
  // Whether the backend server has asked for a pause that is not over.
  bool IsPaused(const BackendEntry& backend, base::MonoTime now) const;
  // Whether a request may be sent to the backend server now.
  bool Admits(const BackendEntry& backend, base::MonoTime now) const;
  // Returns the time until the pause is over; 0 if there is none.
  std::chrono::milliseconds TimeUntilAdmitted(const BackendEntry& backend,
                                              base::MonoTime now) const;

 private:
  struct Pause {
    BackendProcess process;
    base::MonoTime ends_at;
    // Requests sent after the pause, and how many of them there may be.
    int in_progress = 0;
    int max_in_progress = 1;
  };

  // Returns nullptr if the listed process has asked for none. A pause of one
  // that may be the listed one counts: it ends by itself.
  const Pause* Find(const BackendEntry& backend) const;

  std::map<base::BackendId, Pause> pauses_;
  std::mt19937_64 random_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_BACKOFF_H_
