#ifndef TESTS_SOAK_CALLER_H_
#define TESTS_SOAK_CALLER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/fleet.h"
#include "tests/soak/records.h"

namespace soak {

// One caller's connection to a gateway, and how far its answer is understood.
class CallerConnection {
 public:
  explicit CallerConnection(int port);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Sends a request and reads its answer until `until`. `body` is what a plain
  // answer repeats.
  Outcome Exchange(const Ask& ask,
                   const std::string& key,
                   const std::string& body,
                   Time until);
  // Whether it may carry another request.
  bool is_open() const { return is_open_; }

 private:
  int socket_ = -1;
  bool is_open_ = false;
};

// Collects what callers saw. Safe from any thread.
class Log {
 public:
  void Add(Exchanged exchanged);
  std::vector<Exchanged> Take();

 private:
  std::mutex mutex_;
  std::vector<Exchanged> exchanges_;
};

// Which gateways get new connections: as a balancer does, by asking each for
// readiness twice a second.
class Balancer {
 public:
  explicit Balancer(Fleet& fleet);
  ~Balancer();

  // Returns a gateway in rotation, or any while none is.
  int Choose(std::mt19937& random);

 private:
  void Run();

  Fleet& fleet_;
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::vector<int> misses_;
  std::thread thread_;
};

// Sends requests of all kinds over kept connections until `is_stopping`.
void RunCaller(Fleet& fleet,
               Balancer& balancer,
               unsigned seed,
               const std::atomic<bool>& is_stopping,
               Log& log);

// Asks each gateway in turn with the newest key that changes, and with the one
// before, until `is_stopping`.
void RunKeyProber(Fleet& fleet, const std::atomic<bool>& is_stopping, Log& log);

// Sends one request of `kind` over a new connection.
Exchanged AskOnce(Fleet& fleet, int gateway, Kind kind, const std::string& id);

}  // namespace soak

#endif  // TESTS_SOAK_CALLER_H_
