#ifndef TESTS_SOAK_FAULTS_H_
#define TESTS_SOAK_FAULTS_H_

#include <array>
#include <chrono>
#include <mutex>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "tests/soak/fleet.h"
#include "tests/soak/records.h"

namespace soak {

// What the soak can do. Each lasts for `time` and is then taken back.

// A gateway is killed and started again.
struct KillGateway {
  int gateway;
};
// A gateway is asked to end, and started again once it has.
struct RestartGateway {
  int gateway;
};
// A gateway is frozen and wakes again.
struct FreezeGateway {
  int gateway;
};
// A gateway's settings file is written anew, with a signal.
struct ReloadGateway {
  int gateway;
};
// Connections between callers and a gateway, or a gateway and the store, are
// delayed, reset, or held back in one or both directions.
enum class LinkTrouble { kDelay, kReset, kHoldUp, kHoldDown, kSilence };
struct TroubleCallerLink {
  int gateway;
  LinkTrouble trouble;
};
struct TroubleStoreLink {
  int gateway;
  LinkTrouble trouble;
};
struct TroubleBackendLink {
  LinkTrouble trouble;
};
// The store answers nothing but 503, or loses the answers to commits, or
// forgets its history.
struct StoreDown {};
struct StoreLosesAnswers {};
struct StoreForgets {};
// A backend server is killed; its entry goes later, and another comes.
struct KillBackend {};
// A backend server is frozen and wakes again.
struct FreezeBackend {};
// A backend server announces that it leaves, and leaves; another comes.
struct RetireBackend {};
// The operator changes the configuration, several times in a row.
struct ChangeConfiguration {};

using Fault = std::variant<KillGateway,
                           RestartGateway,
                           FreezeGateway,
                           ReloadGateway,
                           TroubleCallerLink,
                           TroubleStoreLink,
                           TroubleBackendLink,
                           StoreDown,
                           StoreLosesAnswers,
                           StoreForgets,
                           KillBackend,
                           FreezeBackend,
                           RetireBackend,
                           ChangeConfiguration>;

struct PlannedFault {
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds time{0};
  Fault fault;
};

// Returns the faults of a run of `length`, in order of their beginning; they
// overlap. A seed draws some kinds of fault only, so that runs differ in what
// comes together. Pure.
std::vector<PlannedFault> PlanFaults(unsigned seed,
                                     std::chrono::milliseconds length,
                                     int gateways);

// Carries faults out and records them. Each call of Play waits for its fault's
// end; several may run at once.
class FaultPlayer {
 public:
  explicit FaultPlayer(Fleet& fleet) : fleet_(fleet) {}

  void Play(const PlannedFault& planned);

  std::vector<Disturbance> disturbances();
  std::vector<Leaving> leavings();
  // What a fault itself showed to be broken.
  std::vector<Breach> breaches();

 private:
  // Records a disturbance from now on and returns its number.
  std::size_t Begin(Disturbance::On on,
                    Disturbance::Sort sort,
                    int target,
                    std::string what);
  void End(std::size_t number);
  void PlayOnGateway(const PlannedFault& planned, int gateway);
  void Restart(int gateway);
  void Trouble(FaultProxy& link,
               LinkTrouble trouble,
               std::chrono::milliseconds time);
  // Draws a backend server; empty when there is none.
  std::string ChooseBackend();

  Fleet& fleet_;
  std::mutex mutex_;
  std::vector<Disturbance> disturbances_;
  std::vector<Leaving> leavings_;
  std::vector<Breach> breaches_;
  std::mt19937 random_{1};
  // Held by the fault that stops or kills a gateway's process.
  std::array<std::mutex, 16> gateways_;
};

}  // namespace soak

#endif  // TESTS_SOAK_FAULTS_H_
