#ifndef STANDINS_BACKEND_FAULTS_H_
#define STANDINS_BACKEND_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>
#include <vector>

namespace standins::backend {

// Faults injected into a backend server.
struct Faults {
  // Every request is answered with status 503 and event streams are closed.
  bool down = false;
  // Added to every request.
  std::chrono::milliseconds delay{0};
  // The load reports announce that the server is leaving.
  bool leaving = false;
  // The server is leaving according to the instance list only: later requests
  // are recorded, but the load reports do not announce it.
  bool leaving_silently = false;
  int drop_events_percent = 0;
  // Number of events after which a connection is closed; 0 for never.
  int break_streams_after = 0;
  // Multiplies the time between tokens or the duration of a call.
  double slow_factor = 1;
};

// The active faults and the requests that arrived after the server was marked
// as leaving. Thread-safe.
class FaultState {
 public:
  explicit FaultState(std::uint64_t seed);

  // Replaces the active faults.
  void Set(const Faults& faults);
  // Records the arrival of a new request.
  void CountRequest();
  // Decides at random whether the next event is dropped.
  bool ShouldDropEvent();

  Faults Get() const;
  std::int64_t last_new_request_unix_ms() const;
  // Arrival times of requests after the server was marked as leaving, in ms
  // since the mark.
  std::vector<std::int64_t> requests_after_leaving_mark() const;

 private:
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  Faults faults_;
  std::int64_t last_request_unix_ms_ = 0;
  std::int64_t leaving_since_unix_ms_ = 0;
  std::vector<std::int64_t> arrivals_after_mark_ms_;
};

// Current Unix time in milliseconds and in microseconds.
std::int64_t UnixMs();
std::int64_t UnixUs();

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_FAULTS_H_
